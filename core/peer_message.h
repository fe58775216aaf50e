#pragma once

#include "core/caller_error.h"
#include "core/claim_message.h"
#include "core/clock.h"
#include "core/document.h"
#include "core/document_version.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// Identifies the sender of a message and the address to which answers are sent.
struct peer_identity {
    std::string id;
    // Address of the sender's listener, such as "tcp://127.0.0.1:19000".
    std::string address;
    // Random number that the process chooses at start. It distinguishes a process from its successor under the same id.
    std::uint64_t incarnation = 0;
};

// Identifies one attempt of one request.
struct attempt_id {
    std::string requestId;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// The request that an upstream has to execute.
struct work {
    std::string service;
    service_kind kind = service_kind::engine;
    std::string method = "POST";
    std::string path;
    std::string contentType;
    std::string body;
};

// Asks a sidecar to run an attempt. The entry sends it again until it is answered. It is idempotent: the sidecar runs
// the attempt once and answers each copy with the present state of the attempt.
struct offer {
    peer_identity from;
    attempt_id attempt;
    // The incarnation of the sidecar that the entry addresses. A later incarnation refuses the offer, since the addressed
    // one may have run the attempt.
    std::uint64_t sidecarIncarnation = 0;
    std::uint32_t tierRank = 0;
    std::string className;
    std::string organisation;
    // Time until the deadline of the request.
    std::chrono::milliseconds timeLeft { 0 };
    // Estimate of the output length in tokens.
    std::uint32_t expectedTokens = 0;
    // Hash that is equal for requests with the same organisation, service and body.
    std::uint64_t fingerprint = 0;
    bool repeatable = true;
    // Whether a request of this fingerprint was running when an upstream crashed.
    bool suspect = false;
    bool streaming = false;
    // Sequence number of the first chunk that the entry has not received. The sidecar sends again from this chunk on.
    std::uint32_t nextChunk = 0;
    // Text that the caller has already received from an earlier attempt; generation continues after it.
    std::string deliveredPrefix;
    std::uint32_t deliveredTokens = 0;
    work job;
    // Time since the request arrived at the entry. The latency targets of the class are measured from that arrival.
    std::chrono::milliseconds waited { 0 };
};

// Cancels an attempt whose answer the entry has not acknowledged.
struct withdraw {
    peer_identity from;
    attempt_id attempt;
    std::uint64_t sidecarIncarnation = 0;
};

// Confirms to the sidecar that the entry has received the complete answer, so that the sidecar can discard it.
struct acknowledge {
    attempt_id attempt;
    std::uint64_t sidecarIncarnation = 0;
};

// Subscribes the entry to a sidecar's reports. Sent repeatedly, it also serves as the entry's heartbeat.
struct subscribe {
    peer_identity from;
    // Generation and hash of the document that is in force at the entry.
    std::uint64_t generation = 0;
    std::uint64_t documentHash = 0;
    // Requested time between two reports; large changes of load are reported in addition. Zero selects the sidecar's
    // default.
    std::chrono::milliseconds reportInterval { 0 };
};

// Common part of a sidecar's answers about one attempt.
struct answer_header {
    attempt_id attempt;
    std::string sidecarId;
    std::uint64_t sidecarIncarnation = 0;
};

// The sidecar refuses the attempt: it certainly did not run and never will under this attempt id.
struct offer_refused {
    answer_header header;
    error_code reason = error_code::overloaded;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 };
};

// The attempt waits in the sidecar's queue.
struct offer_queued {
    answer_header header;
    // Position in the queue.
    std::uint32_t position = 0;
};

// The sidecar has sent the request to the upstream.
struct offer_started {
    answer_header header;
};

// A chunk of the answer. Sequence numbers start at 0 and have no gaps.
struct output_chunk {
    answer_header header;
    std::uint32_t sequence = 0;
    std::uint32_t tokens = 0;
    std::string text;
};

// The answer is complete after chunkCount chunks.
struct offer_finished {
    answer_header header;
    std::uint32_t chunkCount = 0;
    int status = 200;
    std::string contentType;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
};

// The attempt ended without a complete answer.
struct offer_failed {
    answer_header header;
    // False only when the request was certainly never sent to the upstream.
    bool started = true;
    // Whether the upstream crashed during the attempt.
    bool crashed = false;
    error_code reason = error_code::upstream_failed;
    std::string message;
};

// The attempt is cancelled at the entry's request.
struct offer_withdrawn {
    answer_header header;
    // False when the attempt certainly did not run and never will.
    bool started = false;
};

// The sidecar is not the incarnation that the entry's message addresses and has no record of the attempt.
struct wrong_incarnation {
    answer_header header;
    std::uint64_t namedIncarnation = 0;
};

// Load of one tier on one upstream.
struct tier_load {
    std::uint32_t rank = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Output tokens still expected from running and queued work.
    std::uint64_t expectedTokens = 0;
};

// State of one upstream, which its sidecar sends to the subscribed entries about once a second and after a large change
// of load.
struct report {
    peer_identity from;
    std::string service;
    std::string dataCentre;
    // Generation and hash of the document that is in force at the sidecar.
    std::uint64_t generation = 0;
    std::uint64_t documentHash = 0;
    bool leaving = false;
    bool healthy = true;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    // Output tokens per second of one running request.
    double tokensPerSecond = 0;
    std::vector<tier_load> tiers;
    // Fingerprints of requests that were running when the upstream crashed. A fingerprint is removed once a request
    // with it has completed while it was the only suspect that ran.
    std::vector<std::uint64_t> suspects;
    // Fingerprints of requests that crashed the upstream while they ran as the only suspect. No sidecar runs them for
    // some time.
    std::vector<std::uint64_t> refusedFingerprints;
};

// Asks for the state of the request that has claimed an idempotency key. Entries ask the claimant first, then the
// sidecars.
struct claim_query {
    peer_identity from;
    std::string requestId;
};

// The answer to a claim_query.
struct claim_status {
    std::string requestId;
    claim_state state = claim_state::unknown;
    // Set when the state is finished.
    stored_answer answer;
};

// The difference between two successive versions of the document.
struct document_step {
    document_version from;
    document_version to;
    // JSON patch (RFC 6902) between the canonical texts.
    std::string patch;
};

// Announces the sender's version of the document. A receiver with a newer version answers with what the sender lacks; a
// receiver with an older version requests the document in return. It is always answered, so the answer also serves as a
// heartbeat of the receiver.
struct document_request {
    peer_identity from;
    document_version version;
};

// Consecutive steps from the receiver's version to the sender's version; empty when the receiver has that version
// already.
struct document_difference {
    peer_identity from;
    document_version version;
    std::vector<document_step> steps;
};

// The complete canonical text, for a receiver whose version is the start of none of the steps that the sender has
// stored.
struct full_document {
    peer_identity from;
    document_version version;
    std::string text;
};

// A fingerprint of requests that have crashed an upstream, as one entry reports it to the others.
struct suspect_fact {
    std::uint64_t fingerprint = 0;
    // Whether a request with this fingerprint crashed an upstream while it ran as a suspect. Such requests are refused.
    bool refused = false;
    // Time until the fact expires. Receivers do not extend it.
    std::chrono::milliseconds timeLeft { 0 };
};

// Notifies the other entries immediately of requests that have crashed an upstream.
struct suspect_notice {
    peer_identity from;
    std::vector<suspect_fact> facts;
};

// The load that one organisation puts on one entry.
struct lease_demand {
    std::string organisation;
    double requestsPerSecond = 0;
    // Number of requests in flight, plus those that were refused because of the concurrency limit.
    std::uint32_t inFlight = 0;
};

// Requests shares of the organisations' limits from the entry that allocates them.
struct lease_request {
    peer_identity from;
    std::vector<lease_demand> demands;
};

// The part of one organisation's limits that is allocated to one entry.
struct lease_share {
    std::string organisation;
    double requestsPerSecond = 0;
    double burst = 0;
    std::uint32_t concurrency = 0;
};

// The answer to a lease_request. The shares are valid for a limited time.
struct lease_grant {
    peer_identity from;
    std::vector<lease_share> shares;
    std::chrono::milliseconds validFor { 0 };
};

using peer_message = std::variant<offer, withdraw, acknowledge, subscribe, offer_refused, offer_queued, offer_started, output_chunk, offer_finished, offer_failed, offer_withdrawn, wrong_incarnation, report, claim_query, claim_status, document_request, document_difference, full_document, suspect_notice, lease_request, lease_grant>;

} // namespace kumquat
