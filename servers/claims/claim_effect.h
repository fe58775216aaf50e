#pragma once

#include "core/caller_error.h"
#include "core/log_event.h"
#include "core/metric.h"
#include "servers/claims/claim_record.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// Calls of the object API. The response to each arrives as the event claim_segments_listed, claim_segment_read or
// claim_segment_written.
struct list_claim_segments {
    std::uint32_t shard = 0;
};

struct read_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
};

// Creates the segment unless a segment with its number exists.
struct write_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    claim_segment contents;
};

// Removes a segment that is older than the retention. No event reports the outcome.
struct remove_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    std::uint64_t version = 0;
};

using claim_store_call = std::variant<list_claim_segments, read_claim_segment, write_claim_segment, remove_claim_segment>;

// The request may be dispatched: it now holds the claim on its key.
struct claim_granted {
    std::string requestId;
};

// The request gets the stored answer of an earlier request with the same key.
struct claim_answered {
    std::string requestId;
    stored_answer answer;
};

// The request must not be dispatched; the caller gets the error.
struct claim_denied {
    std::string requestId;
    caller_error error;
};

// Sends a query about a claim, or the reply to one, to another entry or a sidecar.
struct send_claim_message {
    std::string address;
    peer_message message;
};

// Queries every sidecar of the service about the request that holds a key, when the entry that claimed the key does
// not know the outcome or does not answer.
struct query_sidecars {
    std::string service;
    claim_query query;
};

using claim_effect = std::variant<claim_store_call, claim_granted, claim_answered, claim_denied, send_claim_message, query_sidecars, log_event, count_metric>;
using claim_effects = std::vector<claim_effect>;

} // namespace kumquat
