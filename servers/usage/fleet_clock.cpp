#include "servers/usage/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace kumquat::usage {

namespace {

    // Routers send digests at least each 400 ms.
    constexpr auto maxClockAge = std::chrono::seconds(3);
    // After a stall, messages that waited in the sockets are read within this time.
    constexpr auto waitingMessagesTime = std::chrono::milliseconds(500);
    // Bounds the memory. A router hears those of its data centre and one of each other data centre.
    constexpr std::size_t maxClocks = 512;

    duration offsetOf(unix_time timeOfDay, instant now)
    {
        return duration(timeOfDay.time_since_epoch()) - now.time_since_epoch();
    }

} // namespace

void fleet_clock::setOwn(unix_time timeOfDay, instant now)
{
    m_ownOffset = offsetOf(timeOfDay, now);
    std::erase_if(m_clocks, [now](const auto& item) { return now - item.second.heardAt > maxClockAge; });
    // After a stall the last median stays in force until others are heard again.
    if (m_isSet && now < m_heardNotBefore)
        return;
    std::vector<duration> offsets { m_ownOffset };
    for (const auto& [router, clock] : m_clocks)
        offsets.push_back(clock.offset);
    std::sort(offsets.begin(), offsets.end());
    const auto lower = offsets[(offsets.size() - 1) / 2];
    const auto upper = offsets[offsets.size() / 2];
    // Of two values in the middle, the one nearer to the median before belongs to a clock that has not been stepped.
    const bool isUpperNearer = m_isSet && std::chrono::abs(upper - m_offset) < std::chrono::abs(lower - m_offset);
    m_offset = isUpperNearer ? upper : lower;
    m_isSet = true;
}

void fleet_clock::hear(const std::string& router, unix_time timeOfDay, instant now)
{
    if (now < m_heardNotBefore || (m_clocks.size() >= maxClocks && !m_clocks.contains(router)))
        return;
    m_clocks[router] = { offsetOf(timeOfDay, now), now };
}

void fleet_clock::shift(duration gap, instant now)
{
    m_offset += gap;
    for (auto& [router, clock] : m_clocks)
        clock.offset += gap;
    distrust(now);
}

void fleet_clock::distrust(instant now)
{
    m_heardNotBefore = now + waitingMessagesTime;
}

unix_time fleet_clock::timeAt(instant time) const
{
    return unix_time(std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch() + m_offset));
}

} // namespace kumquat::usage
