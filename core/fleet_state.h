#pragma once

#include "core/duty_announcement.h"

#include <chrono>
#include <optional>

namespace kumquat {

// A time of day, in milliseconds since the Unix epoch.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

// What a digest has in addition if the fleet reports the use of upstreams.
struct fleet_state {
    // The sender's time of day.
    unix_time timeOfDay;
    // The newest announcement that the sender knows.
    std::optional<duty_announcement> announcement;

    bool operator==(const fleet_state&) const = default;
};

} // namespace kumquat
