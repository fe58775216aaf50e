#pragma once

#include "core/result.h"
#include "servers/claims/claim_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A not-repeatable request that carries an idempotency key and waits for permission to run.
struct claim_wanted {
    std::string requestId;
    // The caller's key, qualified by its organisation.
    std::string key;
    std::uint64_t fingerprint = 0;
    std::string service;
};

// The request has its whole answer.
struct claimed_request_finished {
    std::string requestId;
    stored_answer answer;
};

// The request ended without a whole answer; ran tells whether it may have been executed.
struct claimed_request_failed {
    std::string requestId;
    bool mayHaveRun = true;
};

struct claim_peer_received {
    peer_message message;
};

struct claim_segments_listed {
    std::uint32_t shard = 0;
    result<std::vector<numbered_segment>> segments;
};

struct claim_segment_read {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    // Absent when no segment has the number.
    result<std::optional<numbered_segment>> segment;
};

enum class claim_write_outcome { written,
    // Another segment has the number.
    conflict,
    // The write may have taken effect or may still do so.
    lost };

struct claim_segment_written {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    claim_write_outcome outcome = claim_write_outcome::lost;
    // Version of the object, when it was written.
    std::uint64_t version = 0;
};

struct claim_timer_due { };

using claim_event = std::variant<claim_wanted, claimed_request_finished, claimed_request_failed, claim_peer_received, claim_segments_listed, claim_segment_read, claim_segment_written, claim_timer_due>;

} // namespace kumquat
