#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <vector>

namespace kumquat {

// Counts the work of each tier as it changes, so that a report costs the same whatever the length of the queue.
class load_tally {
public:
    enum class stage { queued,
        running };

    void add(stage, std::uint32_t tierRank, std::uint32_t expectedTokens);
    void remove(stage, std::uint32_t tierRank, std::uint32_t expectedTokens);
    // Takes tokens that a running attempt has produced off the expected ones.
    void produced(std::uint32_t tierRank, std::uint32_t tokens);

    // Returns the tiers that have work, highest first.
    std::vector<tier_load> tiers() const;

private:
    std::map<std::uint32_t, tier_load> m_tiers;
};

} // namespace kumquat
