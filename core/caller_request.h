#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// How the answer is written to the caller.
enum class answer_format { chat_stream,
    chat_json,
    completion_stream,
    completion_json,
    raw };

// The fields of a completion request that routing needs.
struct completion_summary {
    std::string model;
    bool streaming = false;
    // Zero when the caller sets no limit.
    std::uint32_t maximumTokens = 0;
    // Hashes of growing prefixes of the prompt, shortest first; equal hashes mean a prefix that an engine may have cached.
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptBytes = 0;
    // Whether an engine can continue the answer behind a given beginning of it.
    bool resumable = true;
};

// A request as it arrives from a caller, before authentication.
struct caller_request {
    std::string method;
    std::string path;
    std::string contentType;
    // SHA-256 digest of the bearer key in hexadecimal; empty when the caller sent none.
    std::string keyDigest;
    // Content of the X-Kumquat-Class header.
    std::string className;
    std::string idempotencyKey;
    std::string body;
    // Set for the completion paths only.
    result<completion_summary> completion = completion_summary {};
    answer_format format = answer_format::raw;
};

} // namespace kumquat
