#include "servers/router/watch_lag.h"

namespace kumquat::router {

namespace {

    bool hasReached(const read_positions& own, const read_positions& target)
    {
        return own.config >= target.config && own.records >= target.records;
    }

} // namespace

void watch_lag::update(const read_positions& own, const read_positions& others, instant now)
{
    if (hasReached(own, others))
        m_target.reset();
    else if (!m_target || hasReached(own, m_target->positions))
        m_target = lag_target { others, now };
}

void watch_lag::postpone(instant now)
{
    if (m_target)
        m_target->setAt = now;
}

} // namespace kumquat::router
