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

// Configuration of one entry, read from its settings at start.
struct entry_options {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    // Time from the arrival of a request to the last byte of its answer after which the request fails.
    std::chrono::milliseconds requestTimeout { 600000 };
    // Shortest interval between two reports of an upstream, and between the subscriptions that request them.
    std::chrono::milliseconds subscribeInterval { 1000 };
    // An upstream whose last report is older than this receives no new requests.
    std::chrono::milliseconds reportTimeout { 3500 };
    // Time without an answer to an offer, or without a chunk of a stream, after which a copy of the offer is sent to request
    // the state of the attempt.
    std::chrono::milliseconds resendInterval { 500 };
    // Copies of an offer that may stay unanswered before the attempt is abandoned.
    std::uint32_t resendLimit = 6;
    // Failed attempts after which the request fails. Refusals are not counted here.
    std::uint32_t maxFailedAttempts = 4;
    // Refusals after which a request is offered only to an upstream whose report shows a free slot or work of a lower tier
    // that the request can displace.
    std::uint32_t refusalLimit = 2;
    // How long a request that must not run twice waits, after its attempt has been withdrawn, for the sidecar to answer
    // whether the attempt ran.
    std::chrono::milliseconds withdrawalTimeout { 1000 };
    retry_budget::options retryBudget;
    retry_backoff::options retryBackoff;
    suspect_registry::options suspects;
    subset_options subset;
    // Validity of a leased share of an organisation's limits. Leases are renewed after half of it.
    std::chrono::milliseconds leaseTime { 4000 };
    // Bytes per second of reports that this entry may receive in total; with many upstreams it subscribes to less frequent
    // reports.
    std::uint32_t reportBytesPerSecond = 2000;
    // Time between the drain request and the closing of the listener, in which the load balancer in front of the entry
    // detects that the entry is not ready.
    std::chrono::milliseconds drainGrace { 2000 };
    // Time after the drain request at which the entry stops even when requests are still in progress.
    std::chrono::milliseconds drainLimit { 600000 };
    std::uint64_t seed = 1;
    routing_policy policy;
    // The reducer sets the identity in these options to that of this entry.
    claim_options claims;
    // Addresses of peers from which the entry requests the document while it has none.
    std::vector<std::string> documentPeers;
};

} // namespace kumquat
