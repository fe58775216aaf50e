#include "servers/entry/lease_giver.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

    // Fraction of a limit that is divided equally, whatever the demand, so that an entry without demand can admit its first
    // request.
    constexpr double idleWeight = 0.05;

    double partOf(double wanted, double allWanted, std::size_t askers)
    {
        const double floor = idleWeight / static_cast<double>(askers);
        const double share = allWanted > 0 ? wanted / allWanted : 1.0 / static_cast<double>(askers);
        return floor + (1 - idleWeight) * share;
    }

    double burstOf(const organisation_limits& limits)
    {
        return limits.burst > 0 ? limits.burst : std::max(1.0, limits.requestsPerSecond);
    }

} // namespace

lease_share equalShare(const organisation& keptFor, std::size_t entryCount)
{
    const auto count = static_cast<double>(std::max<std::size_t>(1, entryCount));
    const auto& limits = keptFor.limits;
    // Every entry may run one request at a time, even if the limit is smaller than the number of entries.
    return { .organisation = keptFor.name,
        .requestsPerSecond = limits.requestsPerSecond / count,
        .burst = std::max(1.0, burstOf(limits) / count),
        .concurrency = std::max(1U, static_cast<std::uint32_t>(limits.concurrency / count)) };
}

std::string keeperOf(const std::string& organisation, const std::vector<std::string>& entryIds)
{
    const auto seed = hashBytes(organisation);
    const auto best = std::max_element(entryIds.begin(), entryIds.end(), [&](const auto& left, const auto& right) {
        return std::pair(hashBytes(left, seed), left) < std::pair(hashBytes(right, seed), right);
    });
    return best == entryIds.end() ? std::string() : *best;
}

lease_share lease_giver::grant(const organisation& keptFor, const std::string& entryId, const lease_demand& demand, std::size_t entryCount, instant now)
{
    const auto [place, isNew] = m_books.try_emplace(keptFor.name);
    auto& book = place->second;
    if (isNew)
        book.cautiousUntil = now + m_leaseTime;
    std::erase_if(book.leases, [&](const auto& item) { return item.second.until <= now && item.first != entryId; });
    auto& mine = book.leases[entryId];
    mine.wantedRate = demand.requestsPerSecond;
    mine.wantedInFlight = demand.inFlight;
    mine.until = now + m_leaseTime;
    mine.share = equalShare(keptFor, entryCount);
    if (now < book.cautiousUntil)
        return mine.share;
    double allRate = 0;
    double allInFlight = 0;
    lease_share others;
    for (const auto& [id, lease] : book.leases) {
        allRate += lease.wantedRate;
        allInFlight += lease.wantedInFlight;
        if (id == entryId)
            continue;
        others.requestsPerSecond += lease.share.requestsPerSecond;
        others.burst += lease.share.burst;
        others.concurrency += lease.share.concurrency;
    }
    const auto& limits = keptFor.limits;
    const double ratePart = partOf(mine.wantedRate, allRate, book.leases.size());
    const double inFlightPart = partOf(mine.wantedInFlight, allInFlight, book.leases.size());
    const auto freeConcurrency = limits.concurrency - std::min(limits.concurrency, others.concurrency);
    mine.share.requestsPerSecond = std::min(limits.requestsPerSecond * ratePart, std::max(0.0, limits.requestsPerSecond - others.requestsPerSecond));
    mine.share.burst = std::min(burstOf(limits) * ratePart, std::max(0.0, burstOf(limits) - others.burst));
    mine.share.burst = std::max(1.0, mine.share.burst);
    mine.share.concurrency = std::min(freeConcurrency, static_cast<std::uint32_t>(std::ceil(limits.concurrency * inFlightPart)));
    return mine.share;
}

void lease_giver::forgetExpired(instant now)
{
    std::erase_if(m_books, [&](const auto& item) {
        const auto& leases = item.second.leases;
        return std::all_of(leases.begin(), leases.end(), [&](const auto& entry) { return entry.second.until <= now; });
    });
}

} // namespace kumquat
