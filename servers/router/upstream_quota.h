#pragma once

#include "core/token_bucket.h"
#include "servers/router/rate_share.h"
#include "servers/router/upstream_limit.h"

namespace kumquat::router {

// What this router may send to an upstream that limits the requests of all routers together.
struct upstream_quota {
    upstream_limit limit;
    // Paces this router's attempts at its share of the limit.
    token_bucket bucket;
    rate_share share;
    // From what the share was computed.
    double limitOfShare = 0;
    std::uint64_t censusOfShare = 0;
};

} // namespace kumquat::router
