#pragma once

#include "core/clock.h"
#include "servers/claims/claim_record.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace kumquat {

// The request that holds a key.
struct claim_holder {
    std::string requestId;
    std::uint64_t fingerprint = 0;
    std::string service;
    peer_identity claimant;
    // Number of the segment that holds the answer; absent while there is none.
    std::optional<std::uint64_t> answeredIn;
    instant claimedAt;
};

// The journal of one shard, folded in the order of its segments. Every entry that reads the same segments sees the same
// holders, which makes the conditional creation of a segment the only place where a key is granted.
class claim_index {
public:
    explicit claim_index(duration retention);

    void apply(std::uint64_t number, const claim_segment&, instant now);
    // Whether the record would change anything if it were the next one.
    bool wouldApply(const claim_record&) const;
    const claim_holder* find(const std::string& key) const;
    // Forgets claims that are older than the retention.
    void expire(instant now);
    std::size_t size() const { return m_holders.size(); }

private:
    void applyRecord(const claim_made&, std::uint64_t number, instant writtenAt);
    void applyRecord(const claim_finished&, std::uint64_t number, instant writtenAt);
    void applyRecord(const claim_released&, std::uint64_t number, instant writtenAt);

    duration m_retention;
    std::unordered_map<std::string, claim_holder> m_holders;
    // Keys in order of their claims.
    std::deque<std::pair<instant, std::string>> m_order;
};

} // namespace kumquat
