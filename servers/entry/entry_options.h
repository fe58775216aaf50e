#pragma once

#include "servers/claims/claim_options.h"
#include "servers/entry/retry_backoff.h"
#include "servers/entry/retry_budget.h"
#include "servers/entry/routing_policy.h"
#include "servers/entry/suspect_registry.h"
#include "servers/entry/upstream_subset.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Fixed properties of one entry, from its settings.
struct entry_options {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    // Longest life of a request, from arrival to the last byte.
    std::chrono::milliseconds requestTimeout { 600000 };
    std::chrono::milliseconds subscribeInterval { 1000 };
    // An upstream that sends no report for this long receives no new work.
    std::chrono::milliseconds reportTimeout { 3500 };
    // An offer without an answer, or a stream without a chunk, is asked about after this time.
    std::chrono::milliseconds resendInterval { 500 };
    // Copies of an offer that may stay unanswered before the attempt is given up.
    std::uint32_t resendLimit = 6;
    // Attempts that may fail before the request does; refusals count apart.
    std::uint32_t maximumAttempts = 4;
    // Refusals for load after which a request is offered only where reports show room or lower work.
    std::uint32_t refusalLimit = 2;
    // How long a withdrawn request that must not run twice waits for the sidecar's word on whether it ran.
    std::chrono::milliseconds withdrawWait { 1000 };
    retry_budget::options retryBudget;
    retry_backoff::options retryBackoff;
    suspect_registry::options suspects;
    subset_options subset;
    // How long a share of an organisation's limits holds; it is renewed at half of this.
    std::chrono::milliseconds leaseTime { 4000 };
    // Bytes a second that reports may take; with many links they become rarer.
    std::uint32_t reportBytesPerSecond = 2000;
    // Time between the drain request and the end of listening, so that the balancer notices.
    std::chrono::milliseconds drainGrace { 2000 };
    std::chrono::milliseconds drainLimit { 600000 };
    std::uint64_t seed = 1;
    routing_policy policy;
    // The identity inside is taken from this entry.
    claim_options claims;
    // Peers that are asked for the document while this entry has none.
    std::vector<std::string> documentPeers;
};

} // namespace kumquat
