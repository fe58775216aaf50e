#pragma once

#include "core/claim_message.h"
#include "core/peer_message.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A request claims an idempotency key. The record has an effect only if the key is free, or if the request `replaces`
// holds it and has no stored answer.
struct claim_acquired {
    std::string key;
    std::string requestId;
    // Hash of the request's content; reuse of the key with other content is an error.
    std::uint64_t fingerprint = 0;
    std::string service;
    // Incarnation of the entry that dispatches the request.
    peer_identity claimant;
    // Id of the previous holder if its claimant reported that it has not run and never will; empty for a free key.
    std::string replaces;
};

// The request that holds the key has received its answer.
struct claim_finished {
    std::string key;
    std::string requestId;
    stored_answer answer;
};

// The request that holds the key has not run and never will, so the key becomes free.
struct claim_released {
    std::string key;
    std::string requestId;
};

using claim_record = std::variant<claim_acquired, claim_finished, claim_released>;

// One group commit, stored as a numbered object of a shard's journal. It is created only if no object has its number.
struct claim_segment {
    // Unique id of the write. When the response to a write is lost, the writer reads the segment back and recognises its
    // own write by this id.
    std::string writeId;
    std::vector<claim_record> records;
    // Time since the segment was written: the difference between the wall clocks of reader and writer.
    std::chrono::milliseconds age { 0 };
};

struct numbered_segment {
    std::uint64_t number = 0;
    // Version of the object, which a conditional removal names.
    std::uint64_t version = 0;
    claim_segment contents;
};

const std::string& keyOf(const claim_record&);
// Returns the approximate size of the record in the journal, in bytes.
std::size_t sizeOf(const claim_record&);

} // namespace kumquat
