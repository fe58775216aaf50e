#include "servers/router/availability.h"

namespace kumquat::router {

std::optional<std::chrono::milliseconds> timeUntilUnblocked(const std::vector<shared_upstream>& upstreams, instant now)
{
    std::optional<instant> earliest;
    for (const auto& upstream : upstreams) {
        if (upstream->inService() && (!earliest || upstream->blockedUntil < *earliest))
            earliest = upstream->blockedUntil;
    }
    if (!earliest || *earliest <= now)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(*earliest - now);
}

std::optional<limited_supply> supplyOfLimited(const std::vector<shared_upstream>& upstreams, instant now)
{
    std::optional<limited_supply> supply;
    for (const auto& upstream : upstreams) {
        if (!upstream->inService())
            continue;
        if (!upstream->quota)
            return std::nullopt;
        if (!supply)
            supply.emplace();
        const auto share = upstream->quota->share.requestsPerSecond;
        supply->requestsPerSecond += share;
        supply->available += upstream->acceptsRequests(now) ? 1 : 0;
        supply->capacity += share > 0 ? 1 : 0;
    }
    return supply;
}

} // namespace kumquat::router
