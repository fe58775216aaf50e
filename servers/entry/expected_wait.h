#pragma once

#include "core/clock.h"
#include "servers/entry/upstream_directory.h"

#include <cstdint>

namespace kumquat {

// Estimated load of one upstream from the view of a request of some tier: the last report, reduced by the progress since it
// was received and increased by the requests that this entry has sent since.
struct upstream_load {
    // Expected output tokens of running and queued requests of the same or a higher tier.
    double tokensAhead = 0;
    // Running and queued requests of all tiers.
    double requests = 0;
    // Queued and running requests of lower tiers.
    std::uint32_t lowerTierQueued = 0;
    std::uint32_t lowerTierRunning = 0;
    std::uint32_t slots = 1;
    // Output tokens per second of one running request.
    double tokensPerSecond = 1;

    bool hasFreeSlot() const { return requests < slots; }
    // Whether the request could displace a queued request of a lower tier or preempt a running one.
    bool hasLowerTierWork() const { return lowerTierQueued > 0 || lowerTierRunning > 0; }
};

// Estimates the load at the given time. The upstream must have reported.
upstream_load estimateLoad(const upstream_state&, std::uint32_t tierRank, instant now);

// Returns the expected seconds from sending a request to its last token.
double expectedSeconds(const upstream_load&, std::uint32_t expectedTokens);

} // namespace kumquat
