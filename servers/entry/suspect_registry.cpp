#include "servers/entry/suspect_registry.h"

#include <algorithm>

namespace kumquat {

suspect_fact suspect_registry::recordCrash(std::uint64_t fingerprint, bool ranAsSuspect, instant now)
{
    const auto time = ranAsSuspect ? m_options.refusalTime : m_options.suspectTime;
    keep(fingerprint, ranAsSuspect, now + time, now);
    return { fingerprint, ranAsSuspect, time };
}

void suspect_registry::recordSurvival(std::uint64_t fingerprint)
{
    const auto known = m_facts.find(fingerprint);
    if (known != m_facts.end() && !known->second.refused)
        m_facts.erase(known);
}

void suspect_registry::learn(const suspect_fact& heard, instant now)
{
    const auto longest = heard.refused ? m_options.refusalTime : m_options.suspectTime;
    keep(heard.fingerprint, heard.refused, now + std::min(heard.timeLeft, longest), now);
}

void suspect_registry::learn(const report& message, instant now)
{
    for (const auto fingerprint : message.suspects)
        keep(fingerprint, false, now + m_options.suspectTime, now);
    for (const auto fingerprint : message.refusedFingerprints)
        keep(fingerprint, true, now + m_options.suspectTime, now);
}

void suspect_registry::keep(std::uint64_t fingerprint, bool refused, instant until, instant now)
{
    auto& known = m_facts[fingerprint];
    const bool holds = known.until > now;
    // A suspicion does not replace a refusal that has not expired.
    if (holds && known.refused && !refused)
        return;
    known.until = holds && known.refused == refused ? std::max(known.until, until) : until;
    known.refused = refused;
    if (m_facts.size() <= m_options.limit)
        return;
    const auto first = std::min_element(m_facts.begin(), m_facts.end(), [](const auto& left, const auto& right) {
        return left.second.until < right.second.until;
    });
    m_facts.erase(first);
}

const suspect_registry::fact* suspect_registry::find(std::uint64_t fingerprint, instant now) const
{
    const auto known = m_facts.find(fingerprint);
    return known == m_facts.end() || known->second.until <= now ? nullptr : &known->second;
}

bool suspect_registry::isSuspect(std::uint64_t fingerprint, instant now) const
{
    return find(fingerprint, now) != nullptr;
}

std::optional<std::chrono::milliseconds> suspect_registry::refusedFor(std::uint64_t fingerprint, instant now) const
{
    const auto* known = find(fingerprint, now);
    if (!known || !known->refused)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(known->until - now);
}

} // namespace kumquat
