#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

// Counts the requests that reach workers although some like them have crashed workers. So long after so many crashes, routers have
// stopped sending them, but for a few.
class soak_crash_rule {
public:
    using clock = std::chrono::steady_clock;

    explicit soak_crash_rule(std::size_t crashesBeforeRefusal)
        : m_crashesLeft(crashesBeforeRefusal)
    {
    }

    // Records that a request has reached a worker. Returns whether it is one too many.
    bool recordArrival(clock::time_point now)
    {
        const bool isLate = m_refusedFrom && now > *m_refusedFrom;
        return isLate && ++m_lateArrivals > maxLateArrivals;
    }

    void recordCrash(clock::time_point now)
    {
        if (m_crashesLeft > 0 && --m_crashesLeft == 0)
            m_refusedFrom = now + reactionTime;
    }

private:
    static constexpr auto reactionTime = std::chrono::seconds(3);
    static constexpr int maxLateArrivals = 3;

    std::size_t m_crashesLeft;
    std::optional<clock::time_point> m_refusedFrom;
    int m_lateArrivals = 0;
};
