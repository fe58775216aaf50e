#include "servers/usage/fleet_state_throttle.h"

namespace kumquat::usage {

namespace {

    // Ages are inexact.
    constexpr auto newerBy = std::chrono::milliseconds(100);

    // Routers send their states at times that depend on their own clocks. Measured from the last one sent, all routers would go on
    // at the same time after each change of holder, and what one of them missed it would hear only an interval later.
    duration::rep slotOf(instant time, duration interval)
    {
        return time.time_since_epoch() / interval;
    }

} // namespace

bool fleet_state_throttle::isNewer(const std::optional<duty_announcement>& announced, instant now) const
{
    return announced && now - announced->age >= m_madeAt + newerBy;
}

bool fleet_state_throttle::take(const std::optional<duty_announcement>& announced, duration interval, instant now)
{
    const bool isNew = announced && (announced->fencingToken != m_token || announced->collectors != m_collectors);
    if (!isNew && m_sentAt && interval > duration::zero() && slotOf(now, interval) == slotOf(*m_sentAt, interval))
        return false;
    m_sentAt = now;
    if (announced) {
        m_madeAt = now - announced->age;
        m_token = announced->fencingToken;
        m_collectors = announced->collectors;
    }
    return true;
}

} // namespace kumquat::usage
