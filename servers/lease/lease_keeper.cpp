#include "servers/lease/lease_keeper.h"

#include <algorithm>

namespace kumquat {

lease_keeper::lease_keeper(lease_options options)
    : m_options(std::move(options))
{
}

std::optional<lease_effect> lease_keeper::step(const lease_event& event, instant now)
{
    return std::visit([&](const auto& concrete) { return handle(concrete, now); }, event);
}

std::optional<std::uint64_t> lease_keeper::fencingNumber(instant now) const
{
    if (!m_heldUntil || now >= *m_heldUntil)
        return std::nullopt;
    return m_seen.fencingNumber;
}

std::optional<lease_effect> lease_keeper::handle(const lease_timer_due&, instant now)
{
    if (!m_next || now < *m_next)
        return std::nullopt;
    m_next.reset();
    if (fencingNumber(now))
        return write(m_seen.fencingNumber, now);
    return read_lease {};
}

std::optional<lease_effect> lease_keeper::handle(const lease_read& event, instant now)
{
    if (errorOf(event.version)) {
        pause(m_options.retryInterval, now);
        return std::nullopt;
    }
    const auto version = valueOf(event.version);
    if (version != m_version || m_seenAt == instant {}) {
        m_version = version;
        m_seenAt = now;
    }
    m_seen = event.lease;
    // A write whose answer was lost has taken effect.
    if (version > 0 && event.lease.writeId == m_written.writeId) {
        hold(version);
        if (fencingNumber(now))
            return std::nullopt;
        // The right has run out and nobody has taken it: the version is the own one.
        return write(m_seen.fencingNumber, now);
    }
    m_heldUntil.reset();
    const auto free = m_seenAt + m_options.length + m_options.allowance;
    if (version == 0 || now >= free)
        return write(event.lease.fencingNumber + 1, now);
    pause(std::min<duration>(m_options.retryInterval, free - now), now);
    return std::nullopt;
}

std::optional<lease_effect> lease_keeper::handle(const lease_written& event, instant)
{
    if (event.outcome != lease_write_outcome::written)
        return read_lease {};
    m_seen = m_written;
    hold(event.version);
    return std::nullopt;
}

// The right is counted from before the write was sent, however late its answer came.
void lease_keeper::hold(std::uint64_t version)
{
    m_version = version;
    m_heldUntil = m_writtenAt + m_options.length - m_options.allowance;
    m_next = m_writtenAt + m_options.length / 2 - m_options.allowance / 2;
}

std::optional<lease_effect> lease_keeper::write(std::uint64_t fencingNumber, instant now)
{
    m_written = { m_options.holder, fencingNumber, m_options.holder + "-" + std::to_string(++m_writes) };
    m_writtenAt = now;
    return write_lease { m_version, m_written };
}

} // namespace kumquat
