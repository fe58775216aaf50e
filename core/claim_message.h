#pragma once

#include <cstdint>
#include <string>

namespace kumquat {

// What is known of the run that holds an idempotency key.
enum class claim_state {
    // The holder may still run or is running.
    in_progress,
    // The holder certainly did not run and never will.
    abandoned,
    finished,
    // The holder may have run; its answer is lost or has not been seen.
    unknown,
};

// A whole answer kept for callers that repeat a request with the same idempotency key.
struct stored_answer {
    // False when the answer was larger than the limit, so that only the fact of the run is kept.
    bool whole = true;
    int status = 200;
    std::string contentType;
    std::string text;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

} // namespace kumquat
