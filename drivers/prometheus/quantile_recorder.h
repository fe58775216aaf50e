#pragma once

#include <chrono>
#include <memory>

namespace kumquat {

// Estimates quantiles of durations in bounded memory.
class quantile_recorder {
public:
    quantile_recorder();
    ~quantile_recorder();
    quantile_recorder(quantile_recorder&&) noexcept;

    void record(std::chrono::microseconds);
    // Returns 0 when nothing has been recorded. Known quantiles are 0.5, 0.95 and 0.99.
    std::chrono::microseconds quantile(double) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
