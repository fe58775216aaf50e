#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <vector>

namespace kumquat {

// Counts the attempts and expected tokens of each tier incrementally, so that the time to make a report does not depend on
// the length of the queue.
class tier_load_counter {
public:
    enum class stage { queued,
        running };

    void add(stage, std::uint32_t tierRank, std::uint32_t expectedTokens);
    void remove(stage, std::uint32_t tierRank, std::uint32_t expectedTokens);
    // Subtracts tokens that a running attempt has produced from the expected tokens of its tier.
    void subtractProduced(std::uint32_t tierRank, std::uint32_t tokens);

    // Returns the number of running attempts of lower tiers.
    std::uint32_t runningInLowerTiers(std::uint32_t tierRank) const;
    // Returns the load of each tier with queued or running attempts, highest tier first.
    std::vector<tier_load> tiers() const;

private:
    std::map<std::uint32_t, tier_load> m_tiers;
};

} // namespace kumquat
