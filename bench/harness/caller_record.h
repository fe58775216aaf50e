#pragma once

#include "bench/harness/scenario.h"
#include "core/caller_error.h"
#include "core/caller_request.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat_bench {

// How a caller's request ended, from the caller's side.
enum class caller_end { open,
    answered,
    failed,
    left,
    connection_lost };

// One caller: what it asks, what the right answer is, and what it has seen.
struct caller_record {
    const traffic_profile* profile = nullptr;
    const kumquat::request_class* requestClass = nullptr;
    std::string organisation;
    std::string body;
    std::uint64_t bodyHash = 0;
    std::uint64_t sharedPrefixHash = 0;
    std::uint32_t answerTokens = 0;
    bool crashesEngine = false;
    instant arrival;
    std::optional<instant> leavesAt;
    std::uint32_t entry = 0;

    caller_end end = caller_end::open;
    kumquat::error_code error = kumquat::error_code::upstream_failed;
    kumquat::ran_state ran = kumquat::ran_state::no;
    std::size_t receivedBytes = 0;
    std::optional<instant> firstTokenAt;
    instant lastTokenAt;
    instant endedAt;
    // Output tokens that engines have computed for this caller, over all attempts.
    std::uint64_t computedTokens = 0;
    // Calls of an upstream that reached it.
    std::uint32_t starts = 0;

    bool isPlain() const { return profile->meanTokens == 0; }
    std::size_t answerBytes() const;
    // Whether the request ended with a whole answer within every target of its class.
    bool meetsTargets() const;
    std::chrono::duration<double> betweenTokens() const;
    // Time until the first token, or until the end of a request that never had one.
    duration wait() const;
};

} // namespace kumquat_bench
