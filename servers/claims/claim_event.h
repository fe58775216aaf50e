#pragma once

#include "core/result.h"
#include "servers/claims/claim_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A not-repeatable request with an idempotency key arrived. It is dispatched only after claim_granted.
struct claim_requested {
    std::string requestId;
    // The caller's key, prefixed with its organisation.
    std::string key;
    std::uint64_t fingerprint = 0;
    std::string service;
};

// The granted request has received its complete answer.
struct claimed_request_finished {
    std::string requestId;
    stored_answer answer;
};

// The granted request ended without a complete answer.
struct claimed_request_failed {
    std::string requestId;
    // Whether an upstream may have executed the request.
    bool mayHaveRun = true;
};

// Another process sent a query about a claim, or the reply to one. Other messages are ignored.
struct claim_message_received {
    peer_message message;
};

struct claim_segments_listed {
    std::uint32_t shard = 0;
    result<std::vector<numbered_segment>> segments;
};

struct claim_segment_read {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    // Empty when no segment has this number.
    result<std::optional<numbered_segment>> segment;
};

enum class claim_write_outcome { written,
    // Another segment already has this number.
    conflict,
    // No response arrived: the write may have taken effect, or may still do so.
    unknown };

struct claim_segment_written {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    claim_write_outcome outcome = claim_write_outcome::unknown;
    // Version of the created object; set only when the outcome is `written`.
    std::uint64_t version = 0;
};

struct claim_timer_due { };

using claim_event = std::variant<claim_requested, claimed_request_finished, claimed_request_failed, claim_message_received, claim_segments_listed, claim_segment_read, claim_segment_written, claim_timer_due>;

} // namespace kumquat
