#include "servers/sidecar/crash_suspects.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Offers without a fingerprint carry this value. They cannot be distinguished and never become suspects.
    constexpr std::uint64_t unknownFingerprint = 0;

} // namespace

void crash_suspects::expiring_set::put(std::uint64_t fingerprint, instant until, std::size_t capacity)
{
    const auto known = m_until.find(fingerprint);
    if (known != m_until.end()) {
        until = std::max(until, known->second);
        m_order.erase({ known->second, fingerprint });
    }
    m_until[fingerprint] = until;
    m_order.emplace(until, fingerprint);
    if (m_until.size() > capacity)
        erase(m_order.begin()->second);
}

bool crash_suspects::expiring_set::erase(std::uint64_t fingerprint)
{
    const auto known = m_until.find(fingerprint);
    if (known == m_until.end())
        return false;
    m_order.erase({ known->second, fingerprint });
    m_until.erase(known);
    return true;
}

bool crash_suspects::expiring_set::expire(instant now)
{
    bool changed = false;
    while (!m_order.empty() && m_order.begin()->first <= now)
        changed = erase(m_order.begin()->second) || changed;
    return changed;
}

std::optional<instant> crash_suspects::expiring_set::until(std::uint64_t fingerprint) const
{
    const auto known = m_until.find(fingerprint);
    return known == m_until.end() ? std::nullopt : std::optional(known->second);
}

std::optional<instant> crash_suspects::expiring_set::nextDeadline() const
{
    return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->first);
}

std::vector<std::uint64_t> crash_suspects::expiring_set::keys() const
{
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(m_until.size());
    for (const auto& [fingerprint, until] : m_until)
        fingerprints.push_back(fingerprint);
    return fingerprints;
}

void crash_suspects::started(const attempt_id& run, std::uint64_t fingerprint, bool suspect)
{
    m_running.emplace(run, fingerprint);
    if (suspect || isSuspect(fingerprint))
        m_runningSuspects.insert(run);
}

void crash_suspects::survived(const attempt_id& run)
{
    const auto known = m_running.find(run);
    if (known == m_running.end())
        return;
    if (m_suspects.erase(known->second))
        m_version++;
    ended(run);
}

void crash_suspects::ended(const attempt_id& run)
{
    m_running.erase(run);
    m_runningSuspects.erase(run);
}

void crash_suspects::connectionBroke(const attempt_id& run, instant now)
{
    const auto known = m_running.find(run);
    if (known == m_running.end())
        return;
    const bool wasOnlySuspect = m_runningSuspects.contains(run) && m_runningSuspects.size() == 1;
    const broken_run broken { known->second, wasOnlySuspect, now };
    ended(run);
    if (now < m_crashUntil) {
        confirm(broken, now);
        return;
    }
    forgetOldBreaks(now);
    m_broken.push_back(broken);
    if (m_unhealthy || m_broken.size() > 1) {
        confirmCrash(now);
        return;
    }
    const auto until = now + m_options.confirmation;
    suspect(broken.fingerprint, until);
    if (wasOnlySuspect)
        refuse(broken.fingerprint, until);
}

void crash_suspects::lostHealth(instant now)
{
    m_unhealthy = true;
    forgetOldBreaks(now);
    if (!m_broken.empty())
        confirmCrash(now);
}

void crash_suspects::forgetOldBreaks(instant now)
{
    std::erase_if(m_broken, [&](const broken_run& earlier) { return earlier.at + m_options.confirmation < now; });
}

void crash_suspects::confirmCrash(instant now)
{
    m_crashUntil = now + m_options.confirmation;
    for (const auto& broken : m_broken)
        confirm(broken, now);
    m_broken.clear();
    // The crash breaks the connections of all other runs too, but their run_failed events have yet to arrive.
    for (const auto& [run, fingerprint] : m_running)
        suspect(fingerprint, now + m_options.suspicion);
}

void crash_suspects::confirm(const broken_run& broken, instant now)
{
    suspect(broken.fingerprint, now + m_options.suspicion);
    if (broken.wasOnlySuspect)
        refuse(broken.fingerprint, now + m_options.refusal);
}

void crash_suspects::suspect(std::uint64_t fingerprint, instant until)
{
    if (fingerprint == unknownFingerprint)
        return;
    if (!m_suspects.contains(fingerprint))
        m_version++;
    m_suspects.put(fingerprint, until, m_options.capacity);
}

void crash_suspects::refuse(std::uint64_t fingerprint, instant until)
{
    if (fingerprint == unknownFingerprint)
        return;
    if (!m_refused.contains(fingerprint))
        m_version++;
    m_refused.put(fingerprint, until, m_options.capacity);
}

duration crash_suspects::refusedFor(std::uint64_t fingerprint, instant now) const
{
    const auto until = m_refused.until(fingerprint);
    return until && *until > now ? *until - now : duration { 0 };
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
