#include "servers/entry/lease_allocator.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

    // Fraction of a limit that is divided equally, whatever the demand, so that an entry without demand can admit its first
    // request.
    constexpr double equalFraction = 0.05;

    double shareOfDemand(double demand, double totalDemand, std::size_t entryCount)
    {
        const double floor = equalFraction / static_cast<double>(entryCount);
        const double share = totalDemand > 0 ? demand / totalDemand : 1.0 / static_cast<double>(entryCount);
        return floor + (1 - equalFraction) * share;
    }

    double burstOf(const organisation_limits& limits)
    {
        return limits.burst > 0 ? limits.burst : std::max(1.0, limits.requestsPerSecond);
    }

} // namespace

lease_share equalShare(const organisation& limitedOrganisation, std::size_t entryCount)
{
    const auto count = static_cast<double>(std::max<std::size_t>(1, entryCount));
    const auto& limits = limitedOrganisation.limits;
    // Every entry may run one request at a time, even if the limit is smaller than the number of entries.
    return { .organisation = limitedOrganisation.name,
        .requestsPerSecond = limits.requestsPerSecond / count,
        .burst = std::max(1.0, burstOf(limits) / count),
        .concurrency = std::max(1U, static_cast<std::uint32_t>(limits.concurrency / count)) };
}

std::string allocatingEntryOf(const std::string& organisation, const std::vector<std::string>& entryIds)
{
    const auto seed = hashBytes(organisation);
    const auto best = std::max_element(entryIds.begin(), entryIds.end(), [&](const auto& left, const auto& right) {
        return std::pair(hashBytes(left, seed), left) < std::pair(hashBytes(right, seed), right);
    });
    return best == entryIds.end() ? std::string() : *best;
}

lease_share lease_allocator::grant(const organisation& limitedOrganisation, const std::string& entryId, const lease_demand& demand, std::size_t entryCount, instant now)
{
    const auto [position, isNew] = m_allocations.try_emplace(limitedOrganisation.name);
    auto& allocation = position->second;
    if (isNew)
        allocation.equalSharesUntil = now + m_leaseTime;
    std::erase_if(allocation.leases, [&](const auto& item) { return item.second.expiresAt <= now && item.first != entryId; });
    auto& renewed = allocation.leases[entryId];
    renewed.demandedRate = demand.requestsPerSecond;
    renewed.demandedInFlight = demand.inFlight;
    renewed.expiresAt = now + m_leaseTime;
    renewed.share = equalShare(limitedOrganisation, entryCount);
    if (now < allocation.equalSharesUntil)
        return renewed.share;
    double totalRate = 0;
    double totalInFlight = 0;
    lease_share others;
    for (const auto& [id, lease] : allocation.leases) {
        totalRate += lease.demandedRate;
        totalInFlight += lease.demandedInFlight;
        if (id == entryId)
            continue;
        others.requestsPerSecond += lease.share.requestsPerSecond;
        others.burst += lease.share.burst;
        others.concurrency += lease.share.concurrency;
    }
    const auto& limits = limitedOrganisation.limits;
    const double rateShare = shareOfDemand(renewed.demandedRate, totalRate, allocation.leases.size());
    const double inFlightShare = shareOfDemand(renewed.demandedInFlight, totalInFlight, allocation.leases.size());
    const auto freeConcurrency = limits.concurrency - std::min(limits.concurrency, others.concurrency);
    renewed.share.requestsPerSecond = std::min(limits.requestsPerSecond * rateShare, std::max(0.0, limits.requestsPerSecond - others.requestsPerSecond));
    renewed.share.burst = std::min(burstOf(limits) * rateShare, std::max(0.0, burstOf(limits) - others.burst));
    renewed.share.burst = std::max(1.0, renewed.share.burst);
    renewed.share.concurrency = std::min(freeConcurrency, static_cast<std::uint32_t>(std::ceil(limits.concurrency * inFlightShare)));
    return renewed.share;
}

void lease_allocator::removeExpired(instant now)
{
    std::erase_if(m_allocations, [&](const auto& item) {
        const auto& leases = item.second.leases;
        return std::all_of(leases.begin(), leases.end(), [&](const auto& entry) { return entry.second.expiresAt <= now; });
    });
}

} // namespace kumquat
