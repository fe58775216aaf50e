#pragma once

#include "core/peer_message.h"

#include <chrono>
#include <cstdint>

namespace kumquat {

// Fixed properties of the claims of one entry, from its settings.
struct claim_options {
    peer_identity self;
    // Journals among which keys are divided; equal on every entry of a site.
    std::uint32_t shards = 4;
    // A request whose claim is not settled after this time is refused, and then certainly never dispatched.
    std::chrono::milliseconds claimTimeout { 1000 };
    // Least time between two commits of a shard; it bounds the writes of the object API.
    std::chrono::milliseconds commitInterval { 20 };
    // After a failed call of the object API, requests are refused at once for this time.
    std::chrono::milliseconds storeRetryInterval { 200 };
    // Time that a claimant, and after it the sidecars, have for an answer.
    std::chrono::milliseconds queryTimeout { 300 };
    // Time for which a key is remembered. It exceeds the life of a request many times.
    std::chrono::milliseconds retention { std::chrono::hours { 24 } };
    std::size_t segmentLimitBytes = 512 << 10;
    // A larger answer is not kept; only the fact of the run is.
    std::size_t answerLimitBytes = 16 << 10;
    // Longest idempotency key.
    std::size_t keyLimitBytes = 255;
};

} // namespace kumquat
