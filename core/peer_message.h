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

// Names the sender of a message and where its answers go.
struct peer_identity {
    std::string id;
    // Address of the sender's listener, such as "tcp://127.0.0.1:19000".
    std::string address;
    // Drawn at random at start; a process that replaces another under the same id differs in it.
    std::uint64_t incarnation = 0;
};

// Names one attempt of one request.
struct attempt_id {
    std::string requestId;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// What an upstream has to execute.
struct work {
    std::string service;
    service_kind kind = service_kind::engine;
    std::string method = "POST";
    std::string path;
    std::string contentType;
    std::string body;
};

// Asks a sidecar to run an attempt. Idempotent: it is resent until answered, and each copy is answered with the present state.
struct offer {
    peer_identity from;
    attempt_id attempt;
    // A successor of this incarnation refuses, since its predecessor may have run the attempt.
    std::uint64_t sidecarIncarnation = 0;
    std::uint32_t tierRank = 0;
    std::string className;
    std::string organisation;
    std::chrono::milliseconds timeLeft { 0 };
    std::uint32_t expectedTokens = 0;
    // Identifies requests with the same organisation, service and body.
    std::uint64_t fingerprint = 0;
    bool repeatable = true;
    // Whether a request of this fingerprint was running when an upstream crashed.
    bool suspect = false;
    bool streaming = false;
    // First chunk that the entry lacks; chunks from here on are sent again.
    std::uint32_t nextChunk = 0;
    // Text already shown to the caller by an earlier attempt; generation continues behind it.
    std::string deliveredPrefix;
    std::uint32_t deliveredTokens = 0;
    work job;
    // Time since the request arrived at the entry, which counts against the targets of its class.
    std::chrono::milliseconds waited { 0 };
};

// Ends the entry's interest in an attempt that it has not acknowledged.
struct withdraw {
    peer_identity from;
    attempt_id attempt;
    std::uint64_t sidecarIncarnation = 0;
};

// Tells the sidecar that the whole answer has arrived, so that it can be dropped.
struct acknowledge {
    attempt_id attempt;
    std::uint64_t sidecarIncarnation = 0;
};

// Asks for reports and proves that the entry lives.
struct subscribe {
    peer_identity from;
    // Version of the document that the entry has in force.
    std::uint64_t generation = 0;
    std::uint64_t documentHash = 0;
    // Time between two reports that the entry asks for; sharp changes come besides. Zero leaves it to the sidecar.
    std::chrono::milliseconds reportInterval { 0 };
};

// Common part of a sidecar's answers about one attempt.
struct answer_header {
    attempt_id attempt;
    std::string sidecarId;
    std::uint64_t sidecarIncarnation = 0;
};

// The attempt certainly did not run and never will under this attempt id.
struct offer_refused {
    answer_header header;
    error_code reason = error_code::overloaded;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 };
};

struct offer_queued {
    answer_header header;
    std::uint32_t position = 0;
};

// The upstream has been called.
struct offer_started {
    answer_header header;
};

// A piece of the answer. Sequence numbers start at 0 and have no gaps.
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

// The attempt ended without a whole answer.
struct offer_failed {
    answer_header header;
    // False only when the upstream was certainly never called.
    bool started = true;
    bool crashed = false;
    error_code reason = error_code::upstream_failed;
    std::string message;
};

struct offer_withdrawn {
    answer_header header;
    // False means that the attempt did not run and never will.
    bool started = false;
};

// The sidecar is a successor of the incarnation that the message names and knows nothing of the attempt.
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

// State of one upstream, sent to its subscribers about once a second and on sharp change.
struct report {
    peer_identity from;
    std::string service;
    std::string dataCentre;
    // Version of the document that the sidecar has in force.
    std::uint64_t generation = 0;
    std::uint64_t documentHash = 0;
    bool leaving = false;
    bool healthy = true;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    // Output tokens per second of one running request.
    double tokensPerSecond = 0;
    std::vector<tier_load> tiers;
    // Fingerprints that were running at a crash and have not survived a run alone since.
    std::vector<std::uint64_t> suspects;
    // Fingerprints that crashed the upstream while they ran as the only suspect; nobody runs them for a time.
    std::vector<std::uint64_t> refusedFingerprints;
};

// Asks what became of the request that holds an idempotency key. Entries ask its claimant, then the sidecars.
struct claim_query {
    peer_identity from;
    std::string requestId;
};

struct claim_status {
    std::string requestId;
    claim_state state = claim_state::unknown;
    // Set when the state is finished.
    stored_answer answer;
};

// Changes one version of the document into the next.
struct document_step {
    document_version from;
    document_version to;
    // JSON patch (RFC 6902) between the canonical texts.
    std::string patch;
};

// States the sender's version of the document. A receiver that is ahead answers with what the sender lacks; a receiver
// that is behind asks in return. Always answered, so it also proves that the receiver lives.
struct document_request {
    peer_identity from;
    document_version version;
};

// Consecutive steps that lead to the sender's version; no steps when the receiver has that version already.
struct document_difference {
    peer_identity from;
    document_version version;
    std::vector<document_step> steps;
};

// The whole canonical text, for a receiver to which no kept step applies.
struct full_document {
    peer_identity from;
    document_version version;
    std::string text;
};

// What one entry knows of a request that crashed an upstream.
struct suspect_fact {
    std::uint64_t fingerprint = 0;
    // Whether it crashed an upstream while it ran as a suspect; nobody runs it then.
    bool refused = false;
    // How long the fact holds; a peer never extends it.
    std::chrono::milliseconds timeLeft { 0 };
};

// Tells the other entries at once of requests that crashed an upstream.
struct suspect_notice {
    peer_identity from;
    std::vector<suspect_fact> facts;
};

// How much one organisation asks of one entry.
struct lease_demand {
    std::string organisation;
    double requestsPerSecond = 0;
    // Requests in flight, and those refused because too many were.
    std::uint32_t inFlight = 0;
};

// Asks the entry that keeps an organisation's limits for a share of them.
struct lease_request {
    peer_identity from;
    std::vector<lease_demand> demands;
};

// A share of one organisation's limits.
struct lease_share {
    std::string organisation;
    double requestsPerSecond = 0;
    double burst = 0;
    std::uint32_t concurrency = 0;
};

struct lease_grant {
    peer_identity from;
    std::vector<lease_share> shares;
    std::chrono::milliseconds validFor { 0 };
};

using peer_message = std::variant<offer, withdraw, acknowledge, subscribe, offer_refused, offer_queued, offer_started, output_chunk, offer_finished, offer_failed, offer_withdrawn, wrong_incarnation, report, claim_query, claim_status, document_request, document_difference, full_document, suspect_notice, lease_request, lease_grant>;

} // namespace kumquat
