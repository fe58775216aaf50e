#pragma once

#include "core/result.h"
#include "core/stored_object.h"
#include "servers/claims/claim_record.h"

#include <cstdint>
#include <string>

namespace kumquat {

// Return the key prefix of a shard's journal and the key of one of its segments in the object API.
std::string claimShardPrefix(std::uint32_t shard);
std::string claimSegmentKey(std::uint32_t shard, std::uint64_t number);

// Encodes a segment as JSON together with the current wall-clock time.
std::string encodeClaimSegment(const claim_segment&);

// Decodes a segment. Its number is taken from the object's key, its age is the time between encoding and decoding by
// the wall clocks of the two processes. Errors name the key.
result<numbered_segment> decodeClaimSegment(const stored_object&);

} // namespace kumquat
