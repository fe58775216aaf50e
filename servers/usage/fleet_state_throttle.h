#pragma once

#include "core/clock.h"
#include "core/duty_announcement.h"

#include <optional>
#include <string>
#include <vector>

namespace kumquat::usage {

// Decides which digests have the state of the fleet. Neighbours hear it from each other many times a second, so that in a large data
// centre a few of the digests suffice.
class fleet_state_throttle {
public:
    // Whether a digest that is sent now has the state, with this announcement: once in each interval, and at once if the holder or its
    // collectors are others. Takes the state for sent then.
    bool take(const std::optional<duty_announcement>&, duration interval, instant now);
    // Whether the announcement was made later than the last one that was sent.
    bool isNewer(const std::optional<duty_announcement>&, instant now) const;

private:
    // When a digest last had the state, and the announcement in it.
    std::optional<instant> m_sentAt;
    instant m_madeAt;
    std::uint64_t m_token = 0;
    std::vector<std::string> m_collectors;
};

} // namespace kumquat::usage
