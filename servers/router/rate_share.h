#pragma once

#include "servers/router/router_census.h"

#include <cstdint>

namespace kumquat::router {

// The part of an upstream's limit that one router may use.
struct rate_share {
    double requestsPerSecond = 0;
    // How many requests may be saved up.
    double burst = 0;

    bool operator==(const rate_share&) const = default;
};

// Returns this router's share of a limit, in requests a second, that an upstream has named for all routers together.
//
// Each router computes its own share. If all know the same routers, the shares add up to the limit, and the bursts to at most the
// limit of one second and three requests. With more routers than that, only some have a share, others for each upstream, because a
// saved-up request of each router would exceed a small limit. A router that may not know all others has no share.
rate_share shareOfLimit(double requestsPerSecond, std::uint64_t upstreamHash, const router_census&, instant now);

} // namespace kumquat::router
