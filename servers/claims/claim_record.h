#pragma once

#include "core/claim_message.h"
#include "core/peer_message.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A request takes an idempotency key. Effective only if the key is free, or held without an outcome by `replaces`.
struct claim_made {
    std::string key;
    std::string requestId;
    // Identifies the content of the request; a repeat with another content is an error.
    std::uint64_t fingerprint = 0;
    std::string service;
    peer_identity claimant;
    // Holder that its claimant has declared abandoned, or empty.
    std::string replaces;
};

// The request that holds the key has been answered.
struct claim_finished {
    std::string key;
    std::string requestId;
    stored_answer answer;
};

// The request that holds the key did not run and never will.
struct claim_released {
    std::string key;
    std::string requestId;
};

using claim_record = std::variant<claim_made, claim_finished, claim_released>;

// One group commit: a numbered object of a shard's journal. It is created only if no object has its number.
struct claim_segment {
    // Drawn by the writer, so that a lost answer is resolved by reading the segment back.
    std::string writeId;
    std::vector<claim_record> records;
    // Time since it was written, by the wall clocks of writer and reader.
    std::chrono::milliseconds age { 0 };
};

struct numbered_segment {
    std::uint64_t number = 0;
    // Version of the object, for its removal.
    std::uint64_t version = 0;
    claim_segment contents;
};

const std::string& keyOf(const claim_record&);
// Approximate size in the journal.
std::size_t sizeOf(const claim_record&);

} // namespace kumquat
