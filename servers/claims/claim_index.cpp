#include "servers/claims/claim_index.h"

#include "core/overloaded.h"

namespace kumquat {

claim_index::claim_index(duration retention)
    : m_retention(retention)
{
}

void claim_index::apply(std::uint64_t number, const claim_segment& segment, instant now)
{
    const auto writtenAt = now - segment.age;
    for (const auto& record : segment.records) {
        if (wouldApply(record))
            std::visit([&](const auto& concrete) { applyRecord(concrete, number, writtenAt); }, record);
    }
}

bool claim_index::wouldApply(const claim_record& record) const
{
    const auto* holder = find(keyOf(record));
    const auto isOpenFor = [&](const std::string& requestId) { return holder && !holder->answerSegment && holder->requestId == requestId; };
    const auto visitor = overloaded {
        [&](const claim_acquired& acquired) { return !holder || (!acquired.replaces.empty() && isOpenFor(acquired.replaces)); },
        [&](const claim_finished& finished) { return isOpenFor(finished.requestId); },
        [&](const claim_released& released) { return isOpenFor(released.requestId); },
    };
    return std::visit(visitor, record);
}

const claim_holder* claim_index::find(const std::string& key) const
{
    const auto found = m_holders.find(key);
    return found == m_holders.end() ? nullptr : &found->second;
}

void claim_index::applyRecord(const claim_acquired& acquired, std::uint64_t, instant writtenAt)
{
    m_holders[acquired.key] = { acquired.requestId, acquired.fingerprint, acquired.service, acquired.claimant, std::nullopt, writtenAt };
    m_claimOrder.emplace_back(writtenAt, acquired.key);
}

void claim_index::applyRecord(const claim_finished& finished, std::uint64_t number, instant)
{
    m_holders.at(finished.key).answerSegment = number;
}

void claim_index::applyRecord(const claim_released& released, std::uint64_t, instant)
{
    m_holders.erase(released.key);
}

void claim_index::expire(instant now)
{
    while (!m_claimOrder.empty() && m_claimOrder.front().first + m_retention <= now) {
        const auto [claimedAt, key] = m_claimOrder.front();
        m_claimOrder.pop_front();
        const auto found = m_holders.find(key);
        // After a release the key may have been claimed again; that later claim expires on its own.
        if (found != m_holders.end() && found->second.claimedAt == claimedAt)
            m_holders.erase(found);
    }
}

} // namespace kumquat
