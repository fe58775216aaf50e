#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace kumquat {

// Adapts the number of concurrent runs so that the upstream meets the between-token targets of their classes: additive
// increase while the targets are met, multiplicative decrease when more than one latency sample in twenty exceeds its
// target. If the latencies at two limits show that even a single run would exceed its target, fewer runs only reduce
// throughput, and the limit returns to its value before the decreases.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots);

    // Records a latency sample: the mean time per token over several consecutive tokens of one run, the between-token
    // target of its class, and the number of runs at that time. The limit changes at most once in each window.
    void observe(duration perToken, duration target, std::uint32_t running, instant now);
    // The number of runs that may execute at once, from 1 to the number of slots.
    std::uint32_t value() const { return static_cast<std::uint32_t>(m_limit); }

private:
    // Means over the samples of one window.
    struct operating_point {
        double running = 0;
        // Time per token divided by the target.
        double latencyRatio = 0;
    };

    void closeWindow(instant now);
    void decrease(const operating_point&, instant now);
    bool isTargetUnreachable(const operating_point&) const;

    std::uint32_t m_slots;
    double m_limit;
    instant m_windowEnd;
    std::uint32_t m_sampleCount = 0;
    std::uint32_t m_exceededCount = 0;
    operating_point m_sum;
    // Whether the number of runs reached the limit in this window. The limit only rises if it did.
    bool m_limitReached = false;
    // Limit and latency before the first of a series of decreases.
    double m_limitBeforeDecreases = 0;
    std::optional<operating_point> m_pointBeforeDecreases;
    // The limit does not decrease before this time.
    instant m_decreasesPausedUntil;
};

} // namespace kumquat
