#include "servers/sidecar/guaranteed_share.h"

#include <algorithm>

namespace kumquat {

namespace {

    // A class without waiting or running attempts is removed only after this time. Otherwise a class whose attempts are
    // dropped quickly would be empty between two arrivals, and would lose its credit and its waiting time each time.
    constexpr std::chrono::seconds longestInterruption { 1 };

} // namespace

void guaranteed_share::push(const queued_attempt& attempt, instant now)
{
    forgetIdle(now);
    const auto [position, isNew] = m_classes.try_emplace(attempt.className);
    if (isNew)
        position->second.servedAt = now;
    position->second.waiting.insert(&attempt);
}

void guaranteed_share::remove(const queued_attempt& attempt, instant now)
{
    auto& known = m_classes.at(attempt.className);
    known.waiting.erase(&attempt);
    known.emptySince = now;
}

void guaranteed_share::forgetIdle(instant now)
{
    std::erase_if(m_classes, [&](const auto& item) {
        const auto& known = item.second;
        return known.waiting.empty() && known.running == 0 && now - known.emptySince > longestInterruption;
    });
}

void guaranteed_share::started(const queue_choice& choice, instant now)
{
    const auto& attempt = *choice.attempt;
    m_lastWasGuaranteed = choice.guaranteed;
    for (auto& [name, known] : m_classes) {
        if (!known.waiting.empty())
            known.credit += shareOf(name) * attempt.cost;
    }
    auto& served = m_classes.at(attempt.className);
    served.credit = std::max(0.0, served.credit - attempt.cost);
    served.servedAt = now;
    served.running++;
}

void guaranteed_share::ended(const std::string& className, instant now)
{
    auto& known = m_classes.at(className);
    known.running--;
    if (known.waiting.empty())
        known.emptySince = now;
}

bool guaranteed_share::starves(const known_class& known, instant now) const
{
    const auto pause = now - known.servedAt;
    return pause >= m_options.longestPause || (pause >= m_options.starvationLimit && known.running == 0);
}

const queued_attempt* guaranteed_share::due(instant now) const
{
    const known_class* chosen = nullptr;
    for (const auto& [name, known] : m_classes) {
        if (known.waiting.empty())
            continue;
        // A share never takes two starts in succession, so all shares together take at most half of the starts.
        const bool hasEarned = shareOf(name) > 0 && known.credit >= (*known.waiting.begin())->cost && !m_lastWasGuaranteed;
        if (!hasEarned && !starves(known, now))
            continue;
        if (!chosen || known.servedAt < chosen->servedAt)
            chosen = &known;
    }
    return chosen ? *chosen->waiting.begin() : nullptr;
}

double guaranteed_share::shareOf(const std::string& className) const
{
    static const double defaultShare = request_class {}.guaranteedShare;
    const auto* requestClass = m_classLookup->find(className);
    return requestClass ? requestClass->guaranteedShare : defaultShare;
}

} // namespace kumquat
