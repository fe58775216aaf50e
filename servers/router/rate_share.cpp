#include "servers/router/rate_share.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace kumquat::router {

namespace {

    // Equal shares are given out in addition to one for each request a second, so that several routers can use a small limit.
    constexpr double additionalShares = 3;
    // A router that sends many requests a second may save up those of this time.
    constexpr double burstSeconds = 0.5;

    // Returns a number between 0 and 1, neither of them included, that is the same on all routers.
    double uniformHash(const std::string& name, std::uint64_t seed)
    {
        constexpr int mantissaBits = 53;
        return std::ldexp(static_cast<double>(hashBytes(name, seed) >> (64 - mantissaBits)) + 0.5, -mantissaBits);
    }

    // The weighted rendezvous hash of a data centre: the highest is that of a data centre with a probability in proportion to its
    // number of routers.
    double weightedScore(const std::string& dataCentre, int routers, std::uint64_t seed)
    {
        return -routers / std::log(uniformHash(dataCentre, seed));
    }

    bool belongsToOwnDataCentre(const router_census& census, const std::map<std::string, int>& others, std::uint64_t seed)
    {
        const auto ownScore = weightedScore(census.dataCentre(), census.routersInTouch(), seed);
        return std::none_of(others.begin(), others.end(), [&](const auto& other) { return weightedScore(other.first, other.second, seed) >= ownScore; });
    }

    // The position of this router among those of its data centre, which differs for each upstream.
    std::size_t positionInDataCentre(const router_census& census, const std::vector<std::string>& neighbours, std::uint64_t upstreamHash)
    {
        const auto ownHash = hashBytes(census.instance(), upstreamHash);
        return static_cast<std::size_t>(std::count_if(neighbours.begin(), neighbours.end(), [&](const std::string& name) { return hashBytes(name, upstreamHash) < ownHash; }));
    }

} // namespace

rate_share shareOfLimit(double requestsPerSecond, std::uint64_t upstreamHash, const router_census& census, instant now)
{
    if (!census.isSettled(now))
        return {};
    const double routers = census.count();
    const double shares = std::floor(requestsPerSecond) + additionalShares;
    if (routers <= shares || census.isIsolated())
        return { requestsPerSecond / routers, std::max(1.0, requestsPerSecond / routers * burstSeconds) };
    const auto neighbours = census.neighbours();
    const auto others = census.otherDataCentres();
    const auto position = positionInDataCentre(census, neighbours, upstreamHash);
    std::size_t sharesOfDataCentre = 0;
    int ownShares = 0;
    for (std::uint64_t number = 0; number < static_cast<std::uint64_t>(shares); ++number) {
        if (!belongsToOwnDataCentre(census, others, upstreamHash + number))
            continue;
        if (sharesOfDataCentre % (neighbours.size() + 1) == position)
            ++ownShares;
        ++sharesOfDataCentre;
    }
    return { requestsPerSecond * ownShares / shares, static_cast<double>(ownShares) };
}

} // namespace kumquat::router
