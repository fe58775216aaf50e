#pragma once

#include "core/clock.h"
#include "core/duty_announcement.h"

#include <optional>

namespace kumquat::usage {

// The announcement of the holder that this router passes on: the one with the highest token, until it is older than the lease.
class announcement_relay {
public:
    void setLeaseDuration(duration lease) { m_lease = lease; }
    // The announcement that this router makes itself as the holder.
    void publish(const duty_announcement&, instant now);
    // An announcement in another router's digest.
    void hear(const duty_announcement&, instant now);
    // The announcement with its present age, or nothing if it is older than the lease.
    std::optional<duty_announcement> current(instant now) const;

private:
    void keep(const duty_announcement&, instant madeAt, instant now);

    duration m_lease {};
    std::optional<duty_announcement> m_announcement;
    instant m_madeAt;
};

} // namespace kumquat::usage
