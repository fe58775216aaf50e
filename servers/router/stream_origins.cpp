#include "servers/router/stream_origins.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // Other routers can't make this one keep an origin for longer.
    constexpr auto maxLifetime = std::chrono::minutes(2);

} // namespace

bool stream_origins::keep(const stream_origin& origin, instant now)
{
    removeExpired(now);
    remove(origin.stream);
    const auto lifetime = std::clamp<duration>(origin.timeLeft, duration {}, maxLifetime);
    m_byStream[origin.stream] = { origin.version, now + lifetime };
    m_byExpiry.emplace(now + lifetime, origin.stream);
    if (m_byStream.size() <= m_maxCount)
        return true;
    remove(m_byExpiry.begin()->second);
    return false;
}

std::optional<std::uint64_t> stream_origins::find(std::uint64_t stream, instant now) const
{
    const auto found = m_byStream.find(stream);
    if (found == m_byStream.end() || found->second.expiresAt <= now)
        return std::nullopt;
    return found->second.version;
}

void stream_origins::remove(std::uint64_t stream)
{
    const auto found = m_byStream.find(stream);
    if (found == m_byStream.end())
        return;
    m_byExpiry.erase({ found->second.expiresAt, stream });
    m_byStream.erase(found);
}

void stream_origins::removeExpired(instant now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        remove(m_byExpiry.begin()->second);
}

} // namespace kumquat::router
