#pragma once

#include "core/document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// How one request of an experiment ended.
enum class load_result { whole,
    refused,
    unknown,
    // The answer broke off, was doubled, or does not add up.
    broken,
    // No HTTP answer came at all.
    unreachable };

// What the tool saw of one request.
struct load_outcome {
    load_result result = load_result::unreachable;
    std::string errorCode;
    std::optional<std::chrono::microseconds> firstToken;
    std::optional<std::chrono::microseconds> longestGap;
    std::chrono::microseconds total { 0 };
    std::uint32_t tokens = 0;
};

// Returns whether a whole answer met every target that the class states.
bool meetsTargets(const load_outcome&, const latency_targets&);

} // namespace kumquat
