#include "servers/sidecar/crash_suspects.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Offers without a fingerprint carry this value. They cannot be distinguished and never become suspects.
    constexpr std::uint64_t missingFingerprint = 0;

} // namespace

void crash_suspects::expiring_set::put(std::uint64_t fingerprint, instant expiry, std::size_t capacity)
{
    const auto found = m_expiryTimes.find(fingerprint);
    if (found != m_expiryTimes.end()) {
        expiry = std::max(expiry, found->second);
        m_byExpiry.erase({ found->second, fingerprint });
    }
    m_expiryTimes[fingerprint] = expiry;
    m_byExpiry.emplace(expiry, fingerprint);
    if (m_expiryTimes.size() > capacity)
        erase(m_byExpiry.begin()->second);
}

bool crash_suspects::expiring_set::erase(std::uint64_t fingerprint)
{
    const auto found = m_expiryTimes.find(fingerprint);
    if (found == m_expiryTimes.end())
        return false;
    m_byExpiry.erase({ found->second, fingerprint });
    m_expiryTimes.erase(found);
    return true;
}

bool crash_suspects::expiring_set::expire(instant now)
{
    bool changed = false;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        changed = erase(m_byExpiry.begin()->second) || changed;
    return changed;
}

std::optional<instant> crash_suspects::expiring_set::expiryOf(std::uint64_t fingerprint) const
{
    const auto found = m_expiryTimes.find(fingerprint);
    return found == m_expiryTimes.end() ? std::nullopt : std::optional(found->second);
}

std::optional<instant> crash_suspects::expiring_set::nextDeadline() const
{
    return m_byExpiry.empty() ? std::nullopt : std::optional(m_byExpiry.begin()->first);
}

std::vector<std::uint64_t> crash_suspects::expiring_set::keys() const
{
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(m_expiryTimes.size());
    for (const auto& [fingerprint, expiry] : m_expiryTimes)
        fingerprints.push_back(fingerprint);
    return fingerprints;
}

void crash_suspects::recordStart(const attempt_id& run, std::uint64_t fingerprint, bool suspect)
{
    m_running.emplace(run, fingerprint);
    if (suspect || isSuspect(fingerprint))
        m_runningSuspects.insert(run);
}

void crash_suspects::recordProperEnd(const attempt_id& run)
{
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    if (m_suspects.erase(found->second))
        m_version++;
    recordInconclusiveEnd(run);
}

void crash_suspects::recordInconclusiveEnd(const attempt_id& run)
{
    m_running.erase(run);
    m_runningSuspects.erase(run);
}

void crash_suspects::recordBrokenConnection(const attempt_id& run, instant now)
{
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    const bool wasOnlySuspect = m_runningSuspects.contains(run) && m_runningSuspects.size() == 1;
    const broken_run broken { found->second, wasOnlySuspect, now };
    recordInconclusiveEnd(run);
    if (now < m_confirmedCrashEnd) {
        confirmSuspicion(broken, now);
        return;
    }
    removeExpiredBreaks(now);
    m_unconfirmedBreaks.push_back(broken);
    if (m_unhealthy || m_unconfirmedBreaks.size() > 1) {
        confirmCrash(now);
        return;
    }
    const auto expiry = now + m_options.confirmationTime;
    addSuspect(broken.fingerprint, expiry);
    if (wasOnlySuspect)
        addRefusal(broken.fingerprint, expiry);
}

void crash_suspects::recordHealthLoss(instant now)
{
    m_unhealthy = true;
    removeExpiredBreaks(now);
    if (!m_unconfirmedBreaks.empty())
        confirmCrash(now);
}

void crash_suspects::removeExpiredBreaks(instant now)
{
    std::erase_if(m_unconfirmedBreaks, [&](const broken_run& earlier) { return earlier.brokeAt + m_options.confirmationTime < now; });
}

void crash_suspects::confirmCrash(instant now)
{
    m_confirmedCrashEnd = now + m_options.confirmationTime;
    for (const auto& broken : m_unconfirmedBreaks)
        confirmSuspicion(broken, now);
    m_unconfirmedBreaks.clear();
    // The crash breaks the connections of all other runs too, but their run_failed events have yet to arrive.
    for (const auto& [run, fingerprint] : m_running)
        addSuspect(fingerprint, now + m_options.suspicionTime);
}

void crash_suspects::confirmSuspicion(const broken_run& broken, instant now)
{
    addSuspect(broken.fingerprint, now + m_options.suspicionTime);
    if (broken.wasOnlySuspect)
        addRefusal(broken.fingerprint, now + m_options.refusalTime);
}

void crash_suspects::addSuspect(std::uint64_t fingerprint, instant expiry)
{
    if (fingerprint == missingFingerprint)
        return;
    if (!m_suspects.contains(fingerprint))
        m_version++;
    m_suspects.put(fingerprint, expiry, m_options.capacity);
}

void crash_suspects::addRefusal(std::uint64_t fingerprint, instant expiry)
{
    if (fingerprint == missingFingerprint)
        return;
    if (!m_refused.contains(fingerprint))
        m_version++;
    m_refused.put(fingerprint, expiry, m_options.capacity);
}

duration crash_suspects::remainingRefusalTime(std::uint64_t fingerprint, instant now) const
{
    const auto expiry = m_refused.expiryOf(fingerprint);
    return expiry && *expiry > now ? *expiry - now : duration { 0 };
}

void crash_suspects::expire(instant now)
{
    const bool suspectsChanged = m_suspects.expire(now);
    const bool refusedChanged = m_refused.expire(now);
    if (suspectsChanged || refusedChanged)
        m_version++;
}

std::optional<instant> crash_suspects::nextDeadline() const
{
    const auto left = m_suspects.nextDeadline();
    const auto right = m_refused.nextDeadline();
    if (!left || !right)
        return left ? left : right;
    return std::min(*left, *right);
}

} // namespace kumquat
