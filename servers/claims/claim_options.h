#pragma once

#include "core/peer_message.h"

#include <chrono>
#include <cstdint>

namespace kumquat {

// Options of the claims of one entry, from its settings.
struct claim_options {
    peer_identity self;
    // Number of journals among which keys are distributed by hash; must be equal on all entries.
    std::uint32_t shards = 4;
    // A request that is neither granted nor answered after this time is denied and never dispatched.
    std::chrono::milliseconds claimTimeout { 1000 };
    // Minimum time between two commits of a shard; it bounds the rate of writes to the object API.
    std::chrono::milliseconds commitInterval { 20 };
    // Time after a failed call of the object API during which requests are denied without another call.
    std::chrono::milliseconds storeRetryInterval { 200 };
    // Timeout of the query to the claimant, and then of the query to the sidecars.
    std::chrono::milliseconds queryTimeout { 300 };
    // Time for which a claim and its answer are stored; far longer than any request lasts.
    std::chrono::milliseconds retention { std::chrono::hours { 24 } };
    // Approximate maximum size of one segment; a single larger record is still written.
    std::size_t segmentLimitBytes = 512 << 10;
    // A larger answer is not stored; only the fact that the request ran is.
    std::size_t answerLimitBytes = 16 << 10;
    // Maximum size of a key, including its organisation prefix.
    std::size_t keyLimitBytes = 255;
};

} // namespace kumquat
