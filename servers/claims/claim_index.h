#pragma once

#include "core/clock.h"
#include "servers/claims/claim_record.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace kumquat {

// The request whose claim on a key is in effect.
struct claim_holder {
    std::string requestId;
    std::uint64_t fingerprint = 0;
    std::string service;
    peer_identity claimant;
    // Number of the segment that contains the answer; empty until an answer is stored.
    std::optional<std::uint64_t> answerSegment;
    instant claimedAt;
};

// State of one shard, built by applying the segments of its journal in order. Entries that have read the same segments
// compute the same holders. A key is therefore granted only by the conditional creation of a segment.
class claim_index {
public:
    explicit claim_index(duration retention);

    void apply(std::uint64_t number, const claim_segment&, instant now);
    // Returns whether the record would change the index if it were applied next.
    bool wouldApply(const claim_record&) const;
    // Returns the request that holds the key, or null.
    const claim_holder* find(const std::string& key) const;
    // Removes claims that are older than the retention.
    void expire(instant now);
    std::size_t size() const { return m_holders.size(); }

private:
    void applyRecord(const claim_acquired&, std::uint64_t number, instant writtenAt);
    void applyRecord(const claim_finished&, std::uint64_t number, instant writtenAt);
    void applyRecord(const claim_released&, std::uint64_t number, instant writtenAt);

    duration m_retention;
    std::unordered_map<std::string, claim_holder> m_holders;
    // Time of each claim and its key, oldest first.
    std::deque<std::pair<instant, std::string>> m_claimOrder;
};

} // namespace kumquat
