#pragma once

#include "core/clock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace kumquat {

// Stores at most one deadline for each key and returns the keys whose deadlines have passed, earliest first.
template <typename Key>
class timer_queue {
public:
    // Sets or moves the deadline of a key.
    void set(const Key& key, instant deadline)
    {
        cancel(key);
        m_deadlines.emplace(key, deadline);
        m_order.emplace(deadline, key);
    }

    void cancel(const Key& key)
    {
        const auto found = m_deadlines.find(key);
        if (found == m_deadlines.end())
            return;
        m_order.erase({ found->second, key });
        m_deadlines.erase(found);
    }

    // Removes and returns the key with the earliest deadline, if that deadline is not after now.
    std::optional<Key> popDue(instant now)
    {
        if (m_order.empty() || m_order.begin()->first > now)
            return std::nullopt;
        Key key = m_order.begin()->second;
        cancel(key);
        return key;
    }

    std::optional<instant> nextDeadline() const
    {
        if (m_order.empty())
            return std::nullopt;
        return m_order.begin()->first;
    }

    std::size_t size() const { return m_deadlines.size(); }

private:
    std::map<Key, instant> m_deadlines;
    std::set<std::pair<instant, Key>> m_order;
};

} // namespace kumquat
