#pragma once

#include "core/result.h"
#include "core/stored_object.h"
#include "servers/claims/claim_record.h"

#include <cstdint>
#include <string>

namespace kumquat {

// Key prefix of a shard's journal, and key of one of its segments, in the object API.
std::string claimShardPrefix(std::uint32_t shard);
std::string claimSegmentKey(std::uint32_t shard, std::uint64_t number);

// Writes a segment, stamped with the present wall-clock time; its age is worked out from that when it is read.
std::string encodeClaimSegment(const claim_segment&);
result<numbered_segment> decodeClaimSegment(const stored_object&);

} // namespace kumquat
