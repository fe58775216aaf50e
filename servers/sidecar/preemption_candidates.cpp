#include "servers/sidecar/preemption_candidates.h"

namespace kumquat {

bool preemption_candidates::by_preemption_cost::operator()(const candidate& left, const candidate& right) const
{
    if (left.tierRank != right.tierRank)
        return left.tierRank > right.tierRank;
    if (left.preemptions != right.preemptions)
        return left.preemptions < right.preemptions;
    if (left.startedAt != right.startedAt)
        return left.startedAt > right.startedAt;
    return left.attempt < right.attempt;
}

void preemption_candidates::add(const candidate& added)
{
    m_candidates.emplace(added.attempt, added);
    m_order.insert(added);
}

void preemption_candidates::remove(const attempt_id& attempt)
{
    const auto found = m_candidates.find(attempt);
    if (found == m_candidates.end())
        return;
    m_order.erase(found->second);
    m_candidates.erase(found);
}

std::optional<preemption_candidates::candidate> preemption_candidates::cheapestBelow(std::uint32_t tierRank) const
{
    if (m_order.empty() || m_order.begin()->tierRank <= tierRank)
        return std::nullopt;
    return *m_order.begin();
}

} // namespace kumquat
