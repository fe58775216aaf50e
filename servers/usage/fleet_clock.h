#pragma once

#include "core/clock.h"
#include "core/fleet_state.h"

#include <string>
#include <unordered_map>

namespace kumquat::usage {

// The time of day by the clocks of many routers, of which some may be wrong: the median of the offsets between their times of day
// and this router's steady clock.
class fleet_clock {
public:
    // Sets this router's own time of day and computes the median.
    void setOwn(unix_time timeOfDay, instant now);
    // The time of day of another router, which has just arrived.
    void hear(const std::string& router, unix_time timeOfDay, instant now);
    // The instance was suspended, while the steady clock stood still and the time of day went on.
    void shift(duration gap, instant now);
    // What arrives next may have waited in the socket, so it is ignored for a time.
    void distrust(instant now);
    // The time of day at an instant; setOwn() must have been called.
    unix_time timeAt(instant) const;
    // The number of other routers that were heard in the last seconds.
    std::size_t heardRouters() const { return m_clocks.size(); }
    // How far this router's own time of day is ahead of the median.
    duration ownError() const { return m_ownOffset - m_offset; }

private:
    struct heard_clock {
        duration offset {};
        instant heardAt;
    };

    duration m_ownOffset {};
    duration m_offset {};
    bool m_isSet = false;
    // What arrives before this is ignored.
    instant m_heardNotBefore;
    // By router.
    std::unordered_map<std::string, heard_clock> m_clocks;
};

} // namespace kumquat::usage
