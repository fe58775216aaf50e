#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Format in which the answer is written to the caller.
enum class answer_format { chat_stream,
    chat_json,
    completion_stream,
    completion_json,
    raw };

// The properties of a completion request that routing needs.
struct completion_summary {
    std::string model;
    bool streaming = false;
    // Limit of the output length in tokens; zero when the caller sets no limit.
    std::uint32_t maxOutputTokens = 0;
    // Hashes of prefixes of the prompt of increasing length, shortest first. Requests with an equal hash share that
    // prefix, so an engine that has processed one of them may have it cached.
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptBytes = 0;
    // Whether an engine can continue an answer of which the beginning is already delivered.
    bool resumable = true;
};

// A request as it is received from a caller, before authentication.
struct caller_request {
    std::string method;
    std::string path;
    std::string contentType;
    // SHA-256 digest of the bearer key in hexadecimal; empty when the request carries no key.
    std::string keyDigest;
    // Value of the X-Kumquat-Class header; empty when it is absent.
    std::string className;
    std::string idempotencyKey;
    std::string body;
    // Meaningful for the completion paths only.
    result<completion_summary> completion = completion_summary {};
    answer_format format = answer_format::raw;
};

} // namespace kumquat
