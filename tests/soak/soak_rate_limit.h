#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <vector>

// The limits that a worker names from time to time, in requests a second from all routers together, and a count of the requests
// that exceed them. The caller provides the locking.
class soak_rate_limit {
public:
    using clock = std::chrono::steady_clock;

    explicit soak_rate_limit(unsigned seed)
        : m_random(seed)
    {
    }

    // The limit that answers name now.
    std::optional<int> current(clock::time_point now)
    {
        if (now >= m_changesAt)
            change(now);
        return m_limit;
    }

    // An answer that names the limit goes to a router.
    void recordStatement(int router, clock::time_point now) { m_toldAt.emplace(router, now); }

    // Records a request of a router. Returns true if more arrived in the last four seconds than the limit allows.
    bool recordArrival(int router, clock::time_point now)
    {
        const auto told = m_toldAt.find(router);
        if (!current(now) || told == m_toldAt.end() || now < told->second + reactionTime)
            return false;
        m_arrivals.push_back(now);
        std::erase_if(m_arrivals, [now](clock::time_point arrival) { return now - arrival > window; });
        return static_cast<double>(m_arrivals.size()) > allowedShare * *m_limit * std::chrono::duration<double>(window).count() + allowedBurst;
    }

    // The worker stands for its own successor from now on, which has told nobody of a limit.
    void forget()
    {
        m_toldAt.clear();
        m_arrivals.clear();
    }

private:
    // A router may be suspended for up to a second while it is told of a limit, and has half a second to follow it.
    static constexpr auto reactionTime = std::chrono::milliseconds(1500);
    static constexpr auto window = std::chrono::seconds(4);
    static constexpr double allowedShare = 1.5;
    static constexpr int allowedBurst = 5;

    void change(clock::time_point now)
    {
        constexpr std::array limits { 1, 2, 5, 20 };
        m_limit = m_limit ? std::nullopt : std::optional(limits[m_random() % limits.size()]);
        m_changesAt = now + std::chrono::milliseconds(m_limit ? 5000 + m_random() % 5000 : 1000 + m_random() % 3000);
        forget();
    }

    std::mt19937 m_random;
    std::optional<int> m_limit;
    clock::time_point m_changesAt;
    // By the port of the router, when it was first told of the present limit.
    std::map<int, clock::time_point> m_toldAt;
    std::vector<clock::time_point> m_arrivals;
};
