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

// Calls of the object API. Each is answered by the event of the same subject.
struct list_claim_segments {
    std::uint32_t shard = 0;
};

struct read_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
};

// Creates the segment if no segment has its number.
struct write_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    claim_segment contents;
};

// Removes a segment that is older than the retention. Not answered.
struct drop_claim_segment {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    std::uint64_t version = 0;
};

using claim_store_call = std::variant<list_claim_segments, read_claim_segment, write_claim_segment, drop_claim_segment>;

// The request may be dispatched; its key is held.
struct claim_granted {
    std::string requestId;
};

// The request gets the answer that an earlier one with the same key got.
struct claim_answered {
    std::string requestId;
    stored_answer answer;
};

struct claim_denied {
    std::string requestId;
    caller_error error;
};

struct send_claim_message {
    std::string address;
    peer_message message;
};

// Asks every sidecar of the service for the run of a request whose claimant cannot say.
struct ask_sidecars {
    std::string service;
    claim_query query;
};

using claim_effect = std::variant<claim_store_call, claim_granted, claim_answered, claim_denied, send_claim_message, ask_sidecars, log_event, count_metric>;
using claim_effects = std::vector<claim_effect>;

} // namespace kumquat
