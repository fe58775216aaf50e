#pragma once

#include "core/clock.h"
#include "core/store_position.h"

#include <optional>

namespace kumquat::router {

// How far a router has read the configuration and the records of upstreams.
struct read_positions {
    store_position config;
    store_position records;
};

// Finds out whether this router's watches have failed silently, from what the other routers have read. While records change all the
// time, some other router has nearly always read a newer one, so a router lags only while it has not reached what the others had
// read at an earlier time.
class watch_lag {
public:
    // Records how far this router and the others have read.
    void update(const read_positions& own, const read_positions& others, instant now);
    // Begins the observation anew, since everything is listed again.
    void restart() { m_target.reset(); }

    // Begins to count the time anew, since a list is being read, which may take longer than the tolerance.
    void postpone(instant now);

    // Whether another router has read more than this one.
    bool isBehind() const { return m_target.has_value(); }
    // Whether this router has not reached in that time what the others had read.
    bool exceeds(duration tolerance, instant now) const { return m_target && now - m_target->setAt > tolerance; }

private:
    struct lag_target {
        read_positions positions;
        instant setAt;
    };

    std::optional<lag_target> m_target;
};

} // namespace kumquat::router
