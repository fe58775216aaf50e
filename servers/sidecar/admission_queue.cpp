#include "servers/sidecar/admission_queue.h"

namespace kumquat {

void admission_queue::push(queued_attempt attempt)
{
    const order_key key { attempt.tierRank, m_nextSequence++ };
    m_positions.emplace(attempt.attempt, key);
    m_deadlines.emplace(attempt.deadline, key);
    m_waiting.emplace(key, std::move(attempt));
}

queued_attempt admission_queue::take(std::map<order_key, queued_attempt>::iterator position)
{
    queued_attempt taken = std::move(position->second);
    m_deadlines.erase({ taken.deadline, position->first });
    m_positions.erase(taken.attempt);
    m_waiting.erase(position);
    return taken;
}

std::optional<queued_attempt> admission_queue::popNext(instant)
{
    if (m_waiting.empty())
        return std::nullopt;
    return take(m_waiting.begin());
}

std::optional<queued_attempt> admission_queue::displaceBelow(std::uint32_t tierRank)
{
    if (m_waiting.empty())
        return std::nullopt;
    const auto last = std::prev(m_waiting.end());
    if (last->second.tierRank <= tierRank)
        return std::nullopt;
    return take(last);
}

bool admission_queue::remove(const attempt_id& attempt)
{
    const auto found = m_positions.find(attempt);
    if (found == m_positions.end())
        return false;
    take(m_waiting.find(found->second));
    return true;
}

std::vector<queued_attempt> admission_queue::removeExpired(instant now)
{
    std::vector<queued_attempt> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(take(m_waiting.find(m_deadlines.begin()->second)));
    return expired;
}

std::vector<queued_attempt> admission_queue::removeAll()
{
    std::vector<queued_attempt> all;
    while (!m_waiting.empty())
        all.push_back(take(m_waiting.begin()));
    return all;
}

std::optional<instant> admission_queue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void admission_queue::addLoad(std::map<std::uint32_t, tier_load>& loads) const
{
    for (const auto& [key, attempt] : m_waiting) {
        auto& load = loads[key.tierRank];
        load.rank = key.tierRank;
        load.queued++;
        load.expectedTokens += attempt.expectedTokens;
    }
}

} // namespace kumquat
