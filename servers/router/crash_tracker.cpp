#include "servers/router/crash_tracker.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    constexpr auto retentionTime = std::chrono::seconds(60);
    // A digest has to fit in one datagram, so the list is bounded.
    constexpr std::size_t maxReportedCounts = 48;

} // namespace

void crash_tracker::recordCrash(std::uint64_t fingerprint, instant now)
{
    auto& record = m_ownRecords[fingerprint];
    ++record.crashes;
    record.lastCrashAt = now;
}

void crash_tracker::recordSuccess(std::uint64_t fingerprint, instant now)
{
    if (empty())
        return;
    m_ownRecords.erase(fingerprint);
    m_clearedAt[fingerprint] = now;
}

void crash_tracker::setPeerCounts(const std::string& instance, const crash_counts& reported, instant now)
{
    if (reported.empty())
        m_peerCounts.erase(instance);
    else
        m_peerCounts[instance] = { reported, now };
}

int crash_tracker::crashCount(std::uint64_t fingerprint, instant now)
{
    evictExpired(now);
    if (m_clearedAt.contains(fingerprint))
        return 0;
    const auto found = m_ownRecords.find(fingerprint);
    int total = found == m_ownRecords.end() ? 0 : found->second.crashes;
    for (const auto& [instance, peer] : m_peerCounts) {
        for (const auto& [suspect, crashes] : peer.reported)
            total += suspect == fingerprint ? crashes : 0;
    }
    return total;
}

crash_tracker::crash_counts crash_tracker::ownCounts(instant now)
{
    evictExpired(now);
    crash_counts reported;
    for (const auto& [fingerprint, record] : m_ownRecords) {
        if (reported.size() == maxReportedCounts)
            break;
        reported.emplace_back(fingerprint, record.crashes);
    }
    return reported;
}

crash_tracker::crash_counts crash_tracker::sumOf(const std::vector<std::string>& instances, instant now)
{
    std::unordered_map<std::uint64_t, int> sums;
    for (const auto& [fingerprint, crashes] : ownCounts(now))
        sums[fingerprint] += crashes;
    for (const auto& instance : instances) {
        const auto found = m_peerCounts.find(instance);
        if (found == m_peerCounts.end())
            continue;
        for (const auto& [fingerprint, crashes] : found->second.reported)
            sums[fingerprint] += crashes;
    }
    crash_counts reported(sums.begin(), sums.end());
    reported.resize(std::min(reported.size(), maxReportedCounts));
    return reported;
}

void crash_tracker::evictExpired(instant now)
{
    std::erase_if(m_ownRecords, [now](const auto& item) { return now - item.second.lastCrashAt > retentionTime; });
    std::erase_if(m_clearedAt, [now](const auto& item) { return now - item.second > retentionTime; });
    std::erase_if(m_peerCounts, [now](const auto& item) { return now - item.second.receivedAt > retentionTime; });
}

} // namespace kumquat::router
