#pragma once

#include "bench/harness/scenario.h"
#include "core/caller_error.h"
#include "core/caller_request.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat_bench {

// How a request ended as the caller observed it. `open` means that it has not ended yet.
enum class caller_outcome { open,
    answered,
    failed,
    disconnected,
    connection_lost };

// One simulated caller: its request, the expected answer, and what it has received so far.
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
    // When the caller disconnects, by its timeout or by a random draw of the scenario.
    std::optional<instant> disconnectsAt;
    std::uint32_t entry = 0;

    caller_outcome outcome = caller_outcome::open;
    kumquat::error_code error = kumquat::error_code::upstream_failed;
    kumquat::ran_state ran = kumquat::ran_state::no;
    std::size_t receivedBytes = 0;
    std::optional<instant> firstTokenAt;
    instant lastTokenAt;
    instant endedAt;
    // Output tokens that engines have generated for this caller, summed over all attempts.
    std::uint64_t computedTokens = 0;
    // Number of calls for this request that reached an upstream.
    std::uint32_t upstreamCalls = 0;

    bool isPlain() const { return profile->meanAnswerTokens == 0; }
    // Length of the expected answer in bytes.
    std::size_t answerBytes() const;
    // Whether the caller received a complete answer within every latency target of its class.
    bool meetsTargets() const;
    // Mean time between output tokens; zero for an answer of less than two tokens.
    std::chrono::duration<double> betweenTokens() const;
    // Time from arrival to the first token, or to the end of the request if there was none.
    duration wait() const;
};

} // namespace kumquat_bench
