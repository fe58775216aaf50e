#include "servers/entry/suspect_registry.h"

#include <algorithm>

namespace kumquat {

suspect_fact suspect_registry::recordCrash(std::uint64_t fingerprint, bool ranAsSuspect, instant now)
{
    const auto validFor = ranAsSuspect ? m_options.refusalTime : m_options.suspectTime;
    store(fingerprint, ranAsSuspect, now + validFor, now);
    return { fingerprint, ranAsSuspect, validFor };
}

void suspect_registry::recordCompletion(std::uint64_t fingerprint)
{
    const auto existing = m_facts.find(fingerprint);
    if (existing != m_facts.end() && !existing->second.refused)
        m_facts.erase(existing);
}

void suspect_registry::merge(const suspect_fact& peerFact, instant now)
{
    const auto maxTime = peerFact.refused ? m_options.refusalTime : m_options.suspectTime;
    store(peerFact.fingerprint, peerFact.refused, now + std::min(peerFact.timeLeft, maxTime), now);
}

void suspect_registry::merge(const report& message, instant now)
{
    for (const auto fingerprint : message.suspects)
        store(fingerprint, false, now + m_options.suspectTime, now);
    for (const auto fingerprint : message.refusedFingerprints)
        store(fingerprint, true, now + m_options.suspectTime, now);
}

void suspect_registry::store(std::uint64_t fingerprint, bool refused, instant expiresAt, instant now)
{
    auto& existing = m_facts[fingerprint];
    const bool isValid = existing.expiresAt > now;
    // A suspicion does not replace a refusal that has not expired.
    if (isValid && existing.refused && !refused)
        return;
    existing.expiresAt = isValid && existing.refused == refused ? std::max(existing.expiresAt, expiresAt) : expiresAt;
    existing.refused = refused;
    if (m_facts.size() <= m_options.maxFacts)
        return;
    const auto earliest = std::min_element(m_facts.begin(), m_facts.end(), [](const auto& left, const auto& right) {
        return left.second.expiresAt < right.second.expiresAt;
    });
    m_facts.erase(earliest);
}

const suspect_registry::fact* suspect_registry::find(std::uint64_t fingerprint, instant now) const
{
    const auto existing = m_facts.find(fingerprint);
    return existing == m_facts.end() || existing->second.expiresAt <= now ? nullptr : &existing->second;
}

bool suspect_registry::isSuspect(std::uint64_t fingerprint, instant now) const
{
    return find(fingerprint, now) != nullptr;
}

std::optional<std::chrono::milliseconds> suspect_registry::refusedFor(std::uint64_t fingerprint, instant now) const
{
    const auto* existing = find(fingerprint, now);
    if (!existing || !existing->refused)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(existing->expiresAt - now);
}

} // namespace kumquat
