#pragma once

#include "core/clock.h"
#include "servers/entry/upstream_directory.h"

#include <cstdint>

namespace kumquat {

// Work on one upstream as a request of some tier meets it, corrected for the age of the report.
struct upstream_load {
    // Output tokens at or above the tier that are running or queued.
    double tokensAhead = 0;
    // Requests of all tiers that occupy or await a slot.
    double requests = 0;
    // Requests below the tier.
    std::uint32_t lowerQueued = 0;
    std::uint32_t lowerRunning = 0;
    std::uint32_t slots = 1;
    // Output tokens per second of one running request.
    double tokensPerSecond = 1;

    bool hasRoom() const { return requests < slots; }
    // Whether a request could take the place of lower work, queued or running.
    bool hasLowerWork() const { return lowerQueued > 0 || lowerRunning > 0; }
};

upstream_load estimateLoad(const upstream_state&, std::uint32_t tierRank, instant now);

// Returns the predicted seconds from sending a request until its last token.
double expectedSeconds(const upstream_load&, std::uint32_t expectedTokens);

} // namespace kumquat
