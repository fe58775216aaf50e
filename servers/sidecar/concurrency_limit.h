#pragma once

#include "core/clock.h"

#include <cstdint>

namespace kumquat {

// Learns how many runs the upstream can execute at once within the between-token targets of their classes: additive
// increase while the targets hold, multiplicative decrease when more than one gap in twenty exceeds its target. When
// fewer runs do not make the gaps shorter, the upstream is slow for another reason and the limit returns to where it was.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots);

    // Records the time per token since the previous output of a run.
    void observe(duration perToken, duration target, std::uint32_t running, instant now);
    std::uint32_t value() const;

private:
    void closeWindow(instant now);
    void decrease(double meanGap, instant now);

    std::uint32_t m_slots;
    double m_limit;
    instant m_windowEnd;
    std::uint32_t m_samples = 0;
    std::uint32_t m_exceeded = 0;
    double m_gapSum = 0;
    // Whether the limit was reached in the window; an unused limit must not grow.
    bool m_reached = false;
    // State before the first of a series of decreases.
    double m_limitBefore = 0;
    double m_gapBefore = 0;
    instant m_pausedUntil;
};

} // namespace kumquat
