#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace kumquat_bench {

// Event queue of the simulation. Runs actions in order of virtual time; actions due at the same time run in the order in
// which they were scheduled.
class event_queue {
public:
    using action = std::function<void()>;

    explicit event_queue(kumquat::instant start)
        : m_now(start)
    {
    }

    // The current virtual time.
    kumquat::instant now() const { return m_now; }

    // Schedules an action for the given time, or for the current time if that has passed.
    void scheduleAt(kumquat::instant time, action task)
    {
        m_actions.emplace(std::pair { std::max(time, m_now), m_nextSequence++ }, std::move(task));
    }

    void scheduleAfter(kumquat::duration delay, action task) { scheduleAt(m_now + delay, std::move(task)); }

    // Advances the time to the earliest action and runs it. Returns false if no action is scheduled.
    bool runNext()
    {
        if (m_actions.empty())
            return false;
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key().first;
        next.mapped()();
        return true;
    }

private:
    kumquat::instant m_now;
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<kumquat::instant, std::uint64_t>, action> m_actions;
};

} // namespace kumquat_bench
