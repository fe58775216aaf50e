#pragma once

#include <chrono>
#include <memory>

namespace kumquat {

// Estimates quantiles of durations in bounded memory, without storing every sample. All samples are discarded every
// 24 hours.
class quantile_recorder {
public:
    quantile_recorder();
    ~quantile_recorder();
    quantile_recorder(quantile_recorder&&) noexcept;

    void record(std::chrono::microseconds);
    // Returns the estimate for 0.5, 0.95 or 0.99. Returns 0 for any other quantile and while nothing is recorded.
    std::chrono::microseconds quantile(double) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
