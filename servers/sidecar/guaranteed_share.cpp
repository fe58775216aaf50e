#include "servers/sidecar/guaranteed_share.h"

#include <algorithm>

namespace kumquat {

namespace {

    // A class whose attempts are given up quickly is empty between two arrivals; it has been waiting all the same.
    constexpr std::chrono::seconds longestInterruption { 1 };

    // Just below one, since shares are added up in floating point.
    constexpr double wholeSlot = 1 - 1e-9;
    constexpr double largestCredit = 2;

} // namespace

void guaranteed_share::push(const queued_attempt& attempt, instant now)
{
    forgetIdle(now);
    const auto [position, isNew] = m_classes.try_emplace(attempt.className);
    if (isNew)
        position->second.servedAt = now;
    position->second.attempts.insert(&attempt);
}

void guaranteed_share::remove(const queued_attempt& attempt, instant now)
{
    auto& waiting = m_classes.at(attempt.className);
    waiting.attempts.erase(&attempt);
    waiting.emptySince = now;
}

void guaranteed_share::forgetIdle(instant now)
{
    std::erase_if(m_classes, [&](const auto& item) {
        return item.second.attempts.empty() && now - item.second.emptySince > longestInterruption;
    });
}

void guaranteed_share::started(const std::string& className, bool guaranteed, instant now)
{
    m_lastWasGuaranteed = guaranteed;
    for (auto& [name, waiting] : m_classes) {
        if (!waiting.attempts.empty())
            waiting.credit = std::min(largestCredit, waiting.credit + shareOf(name));
    }
    const auto served = m_classes.find(className);
    if (served == m_classes.end())
        return;
    served->second.credit = std::max(0.0, served->second.credit - wholeSlot);
    served->second.servedAt = now;
}

const queued_attempt* guaranteed_share::due(instant now) const
{
    const waiting_class* chosen = nullptr;
    for (const auto& [name, waiting] : m_classes) {
        if (waiting.attempts.empty())
            continue;
        const bool starves = now - waiting.servedAt >= m_starvationLimit;
        // Two shares never follow each other, so that shares together take at most half of the slots.
        const bool hasEarned = waiting.credit >= wholeSlot && !m_lastWasGuaranteed;
        if (!starves && !hasEarned)
            continue;
        if (!chosen || waiting.servedAt < chosen->servedAt)
            chosen = &waiting;
    }
    return chosen ? *chosen->attempts.begin() : nullptr;
}

double guaranteed_share::shareOf(const std::string& className) const
{
    static const double defaultShare = request_class {}.guaranteedShare;
    const auto* terms = m_terms->find(className);
    return terms ? terms->guaranteedShare : defaultShare;
}

} // namespace kumquat
