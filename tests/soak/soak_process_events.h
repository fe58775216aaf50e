#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

// What the script did to the processes of the routers. It appends a line to a file each time: the time in microseconds since the Unix
// epoch, what was done (killed, terminated, started, suspended or resumed) and the number of the router.
class soak_process_events {
public:
    using time_point = std::chrono::system_clock::time_point;

    explicit soak_process_events(const std::string& file)
    {
        std::ifstream lines(file);
        std::int64_t microseconds = 0;
        std::string action;
        int router = 0;
        while (lines >> microseconds >> action >> router)
            record(time_point(std::chrono::microseconds(microseconds)), action, router);
        for (const auto& [stopped, from] : m_stoppedAt)
            m_absences.push_back({ from, time_point::max() });
    }

    // Whether the router was resumed within this span before the time.
    bool wasResumed(int router, time_point time, std::chrono::milliseconds span) const
    {
        const auto found = m_resumptions.find(router);
        return found != m_resumptions.end() && std::any_of(found->second.begin(), found->second.end(), [&](time_point resumed) { return resumed <= time && time - resumed <= span; });
    }

    // Whether anything was done to the router, or it was absent, in this span.
    bool wasDisturbed(int router, time_point from, time_point to) const
    {
        const auto found = m_actions.find(router);
        const auto isWithin = [&](time_point time) { return time >= from && time <= to; };
        const auto stopped = m_stoppedAt.find(router);
        const bool isAbsent = stopped != m_stoppedAt.end() && stopped->second <= to;
        return isAbsent || (found != m_actions.end() && std::any_of(found->second.begin(), found->second.end(), isWithin));
    }

    // Whether a router was made to end, was absent or was started in this span.
    bool anyRouterAbsent(time_point from, time_point to) const
    {
        return std::any_of(m_absences.begin(), m_absences.end(), [&](const absence& item) { return item.from < to && item.to >= from; });
    }

    // When the last of these actions was done.
    time_point last() const { return m_last; }

private:
    struct absence {
        time_point from;
        time_point to;
    };

    void record(time_point time, const std::string& action, int router)
    {
        m_last = std::max(m_last, time);
        m_actions[router].push_back(time);
        if (action == "resumed")
            m_resumptions[router].push_back(time);
        if (action == "killed" || action == "terminated")
            m_stoppedAt.emplace(router, time);
        if (action != "started")
            return;
        const auto stopped = m_stoppedAt.find(router);
        m_absences.push_back({ stopped == m_stoppedAt.end() ? time : stopped->second, time });
        m_stoppedAt.erase(router);
    }

    // When anything was done to each router.
    std::map<int, std::vector<time_point>> m_actions;
    std::map<int, std::vector<time_point>> m_resumptions;
    // Routers that were made to end and have not been started again.
    std::map<int, time_point> m_stoppedAt;
    std::vector<absence> m_absences;
    time_point m_last;
};
