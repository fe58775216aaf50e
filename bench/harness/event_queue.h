#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace kumquat_bench {

// Runs actions in order of virtual time; actions of the same time run in order of scheduling.
class event_queue {
public:
    using action = std::function<void()>;

    explicit event_queue(kumquat::instant start)
        : m_now(start)
    {
    }

    kumquat::instant now() const { return m_now; }

    void at(kumquat::instant time, action todo)
    {
        m_actions.emplace(std::pair { std::max(time, m_now), m_nextSequence++ }, std::move(todo));
    }

    void after(kumquat::duration delay, action todo) { at(m_now + delay, std::move(todo)); }

    // Runs the earliest action. Returns false when none is left.
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
