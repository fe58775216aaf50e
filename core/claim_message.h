#pragma once

#include <cstdint>
#include <string>

namespace kumquat {

// State of the request that has claimed an idempotency key.
enum class claim_state {
    // The request is running or may still start.
    in_progress,
    // The request certainly did not run and never will.
    abandoned,
    finished,
    // The request may have run; its answer is lost or was never received.
    unknown,
};

// The complete answer of a request, stored for callers that repeat the request with the same idempotency key.
struct stored_answer {
    // False when the answer exceeded the size limit; then only the fact that the request has run is stored.
    bool whole = true;
    int status = 200;
    std::string contentType;
    std::string text;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

} // namespace kumquat
