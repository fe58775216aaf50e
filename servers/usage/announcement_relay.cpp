#include "servers/usage/announcement_relay.h"

#include <algorithm>

namespace kumquat::usage {

namespace {

    // The longest transit time of a digest that is allowed for, on each of its hops. Without it two routers that pass an announcement
    // to each other would take it for newer each time.
    constexpr auto maxTransitTime = std::chrono::milliseconds(100);

} // namespace

void announcement_relay::publish(const duty_announcement& announced, instant now)
{
    keep(announced, now - announced.age, now);
}

void announcement_relay::hear(const duty_announcement& announced, instant now)
{
    keep(announced, now - announced.age - maxTransitTime, now);
}

void announcement_relay::keep(const duty_announcement& announced, instant madeAt, instant now)
{
    if (now - madeAt > m_lease)
        return;
    const auto known = current(now);
    if (known && known->fencingToken > announced.fencingToken)
        return;
    const bool isKnown = known && known->fencingToken == announced.fencingToken;
    if (isKnown && madeAt <= m_madeAt)
        return;
    m_announcement = announced;
    if (isKnown)
        m_announcement->firstOpenWindow = std::max(known->firstOpenWindow, announced.firstOpenWindow);
    m_madeAt = madeAt;
}

std::optional<duty_announcement> announcement_relay::current(instant now) const
{
    if (!m_announcement || now - m_madeAt > m_lease)
        return std::nullopt;
    auto announced = *m_announcement;
    announced.age = std::chrono::ceil<std::chrono::milliseconds>(now - m_madeAt);
    return announced;
}

} // namespace kumquat::usage
