#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace kumquat {

// Learns how many runs the upstream can execute at once within the between-token targets of their classes: additive
// increase while the targets hold, multiplicative decrease when more than one stretch of output in twenty exceeds its
// target. When the pace at two limits shows that even a single run would miss, fewer runs only cost throughput, and the
// limit returns to where it was.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots);

    // Records the mean time per token over a stretch of one run's output.
    void observe(duration perToken, duration target, std::uint32_t running, instant now);
    std::uint32_t value() const { return static_cast<std::uint32_t>(m_limit); }

private:
    // What one window has shown.
    struct pace {
        double running = 0;
        // Time per token in proportion to the target.
        double ratio = 0;
    };

    void closeWindow(instant now);
    void decrease(const pace&, instant now);
    bool isFutile(const pace&) const;

    std::uint32_t m_slots;
    double m_limit;
    instant m_windowEnd;
    std::uint32_t m_samples = 0;
    std::uint32_t m_exceeded = 0;
    pace m_sum;
    // Whether the limit was reached in the window; an unused limit must not grow.
    bool m_reached = false;
    // Limit and pace before the first of a series of decreases.
    double m_limitBefore = 0;
    std::optional<pace> m_paceBefore;
    instant m_pausedUntil;
};

} // namespace kumquat
