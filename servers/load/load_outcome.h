#pragma once

#include "core/document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// How one request of an experiment ended.
enum class load_result { complete,
    // The entry answered with an error that reports that the request did not run.
    refused,
    // The entry answered with an error, and the request may have run.
    unknown,
    // The answer broke off, has duplicated parts, or is inconsistent.
    broken,
    // No HTTP answer arrived.
    unreachable };

// What the load tool measured for one request.
struct load_outcome {
    load_result result = load_result::unreachable;
    std::string errorCode;
    // Time to the first token.
    std::optional<std::chrono::microseconds> firstToken;
    // Longest time between two consecutive tokens.
    std::optional<std::chrono::microseconds> longestGap;
    std::chrono::microseconds total { 0 };
    std::uint32_t tokens = 0;
};

// Returns whether the request got a complete answer that met every target of its class.
bool meetsTargets(const load_outcome&, const latency_targets&);

} // namespace kumquat
