#include "drivers/asio/connection_trust.h"

#include <algorithm>

namespace kumquat {

namespace {

    // A connection that has rested for less than this is in steady use; idle timeouts are longer.
    constexpr auto hardlyRested = std::chrono::milliseconds(50);
    // The end of a dropped connection comes one round trip after the request. One that comes later may be a crash at work on it.
    constexpr auto longestRoundTrip = std::chrono::milliseconds(100);
    // How long connections are distrusted after a loss: at first, and at most if losses go on.
    constexpr auto shortestDistrust = std::chrono::seconds(10);
    constexpr auto longestDistrust = std::chrono::minutes(5);

} // namespace

bool connection_trust::mayReuse(const std::string& server, duration rested, bool requestMayBeLost, instant now) const
{
    if (!isDistrusting(now) || rested < hardlyRested)
        return true;
    const auto found = m_servers.find(server);
    const bool isKnown = found != m_servers.end();
    if (isKnown && found->second.longestRest && rested > *found->second.longestRest)
        return false;
    return requestMayBeLost || (isKnown && rested <= found->second.provedRest);
}

void connection_trust::recordAnswer(const std::string& server, duration rested, instant now)
{
    if (!isDistrusting(now))
        return;
    auto& proved = m_servers[server].provedRest;
    proved = std::max(proved, rested);
}

bool connection_trust::recordLoss(const std::string& server, duration rested, duration afterSending, instant now)
{
    if (rested < hardlyRested || afterSending > longestRoundTrip)
        return false;
    if (!isDistrusting(now)) {
        const bool goesOn = m_until && now - *m_until < m_length;
        m_length = goesOn ? std::min<duration>(2 * m_length, longestDistrust) : shortestDistrust;
        m_servers.clear();
    }
    m_until = now + m_length;
    auto& state = m_servers[server];
    state.longestRest = std::min(state.longestRest.value_or(rested), rested) / 2;
    state.provedRest = {};
    return true;
}

void connection_trust::distrust(instant now)
{
    if (!isDistrusting(now)) {
        m_length = shortestDistrust;
        m_servers.clear();
    }
    m_until = std::max(m_until.value_or(now), now + shortestDistrust);
}

} // namespace kumquat
