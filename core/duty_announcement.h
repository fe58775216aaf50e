#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Who performs the duties of the fleet, as its routers tell each other in their digests. The announcement with the highest token wins.
struct duty_announcement {
    // The token of the holder that made the announcement.
    std::uint64_t fencingToken = 0;
    // The time since the holder made it. Each router adds the time for which it has kept it.
    std::chrono::milliseconds age {};
    // The hosts of the routers that take the counts of all routers, as in send_digest: the holder first, then its deputies.
    std::vector<std::string> collectors;
    // The first window whose counts the holder has not delivered. Counts of earlier windows are of no use any more.
    std::uint64_t firstOpenWindow = 0;

    bool operator==(const duty_announcement&) const = default;
};

} // namespace kumquat
