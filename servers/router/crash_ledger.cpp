#include "servers/router/crash_ledger.h"

namespace kumquat::router {

namespace {

    constexpr auto memory = std::chrono::seconds(60);
    // A digest has to fit in one datagram, so the list is bounded.
    constexpr std::size_t maxToldCounts = 48;

} // namespace

void crash_ledger::recordCrash(std::uint64_t fingerprint, instant now)
{
    auto& seen = m_own[fingerprint];
    ++seen.crashes;
    seen.last = now;
}

void crash_ledger::recordSuccess(std::uint64_t fingerprint, instant now)
{
    if (empty())
        return;
    m_own.erase(fingerprint);
    m_clear[fingerprint] = now;
}

void crash_ledger::setPeer(const std::string& instance, const counts& told, instant now)
{
    if (told.empty())
        m_peers.erase(instance);
    else
        m_peers[instance] = { told, now };
}

int crash_ledger::crashes(std::uint64_t fingerprint, instant now)
{
    forgetOld(now);
    if (m_clear.contains(fingerprint))
        return 0;
    const auto found = m_own.find(fingerprint);
    int total = found == m_own.end() ? 0 : found->second.crashes;
    for (const auto& [instance, peer] : m_peers) {
        for (const auto& [told, crashes] : peer.told)
            total += told == fingerprint ? crashes : 0;
    }
    return total;
}

crash_ledger::counts crash_ledger::own(instant now)
{
    forgetOld(now);
    counts told;
    for (const auto& [fingerprint, seen] : m_own) {
        if (told.size() == maxToldCounts)
            break;
        told.emplace_back(fingerprint, seen.crashes);
    }
    return told;
}

void crash_ledger::forgetOld(instant now)
{
    std::erase_if(m_own, [now](const auto& item) { return now - item.second.last > memory; });
    std::erase_if(m_clear, [now](const auto& item) { return now - item.second > memory; });
    std::erase_if(m_peers, [now](const auto& item) { return now - item.second.at > memory; });
}

} // namespace kumquat::router
