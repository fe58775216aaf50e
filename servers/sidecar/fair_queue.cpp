#include "servers/sidecar/fair_queue.h"

namespace kumquat {

void fair_queue::push(const queued_attempt& attempt, instant now)
{
    m_tiers[attempt.tierRank].push(attempt);
    m_share.push(attempt, now);
}

void fair_queue::remove(const queued_attempt& attempt, instant now)
{
    m_tiers.at(attempt.tierRank).remove(attempt);
    m_share.remove(attempt, now);
}

queue_choice fair_queue::next(instant now)
{
    const auto inOrder = nextByTier(now);
    const auto* due = m_share.dueAttempt(now);
    // When the due class is also next by the order of tiers, the order within the tier selects the attempt.
    if (!due || due->className == inOrder.attempt->className)
        return inOrder;
    return { due, true };
}

queue_choice fair_queue::nextByTier(instant now)
{
    for (auto& [rank, tier] : m_tiers) {
        if (const auto* attempt = tier.next(now))
            return { attempt, false };
    }
    return {};
}

void fair_queue::recordStart(const queue_choice& choice, bool advancesVirtualTime, instant now)
{
    m_tiers.at(choice.attempt->tierRank).recordStart(*choice.attempt, advancesVirtualTime && !choice.guaranteed);
    m_share.recordStart(choice, now);
}

void fair_queue::charge(std::uint32_t tierRank, const std::string& organisation, double tokens)
{
    m_tiers.at(tierRank).charge(organisation, tokens);
}

void fair_queue::recordEnd(const queued_attempt& attempt, instant now)
{
    m_tiers.at(attempt.tierRank).recordEnd(attempt.organisation);
    m_share.recordEnd(attempt.className, now);
}

std::size_t fair_queue::countBefore(std::uint32_t tierRank, const std::string& organisation) const
{
    std::size_t count = 0;
    for (const auto& [rank, tier] : m_tiers) {
        if (rank < tierRank)
            count += tier.size();
    }
    const auto ownTier = m_tiers.find(tierRank);
    return ownTier == m_tiers.end() ? count : count + ownTier->second.countBefore(organisation);
}

const queued_attempt* fair_queue::displacementCandidate(std::uint32_t tierRank, const std::string& organisation) const
{
    const auto tier = m_tiers.find(tierRank);
    return tier == m_tiers.end() ? nullptr : tier->second.displacementCandidate(organisation);
}

} // namespace kumquat
