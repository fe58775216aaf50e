#include "servers/sidecar/guaranteed_share.h"

#include <algorithm>

namespace kumquat {

namespace {

    // A class without waiting or running attempts is removed only after this time. Otherwise a class whose attempts are
    // dropped quickly would be empty between two arrivals, and would lose its credit and its waiting time each time.
    constexpr std::chrono::seconds maxIdleTime { 1 };

} // namespace

void guaranteed_share::push(const queued_attempt& attempt, instant now)
{
    removeIdleClasses(now);
    const auto [position, isNew] = m_classes.try_emplace(attempt.className);
    if (isNew)
        position->second.lastStartAt = now;
    position->second.waiting.insert(&attempt);
}

void guaranteed_share::remove(const queued_attempt& attempt, instant now)
{
    auto& state = m_classes.at(attempt.className);
    state.waiting.erase(&attempt);
    state.emptySince = now;
}

void guaranteed_share::removeIdleClasses(instant now)
{
    std::erase_if(m_classes, [&](const auto& item) {
        const auto& state = item.second;
        return state.waiting.empty() && state.running == 0 && now - state.emptySince > maxIdleTime;
    });
}

void guaranteed_share::recordStart(const queue_choice& choice, instant now)
{
    const auto& attempt = *choice.attempt;
    m_lastStartWasGuaranteed = choice.guaranteed;
    for (auto& [name, state] : m_classes) {
        if (!state.waiting.empty())
            state.credit += shareOf(name) * attempt.cost;
    }
    auto& served = m_classes.at(attempt.className);
    served.credit = std::max(0.0, served.credit - attempt.cost);
    served.lastStartAt = now;
    served.running++;
}

void guaranteed_share::recordEnd(const std::string& className, instant now)
{
    auto& state = m_classes.at(className);
    state.running--;
    if (state.waiting.empty())
        state.emptySince = now;
}

bool guaranteed_share::isStarving(const class_state& state, instant now) const
{
    const auto sinceLastStart = now - state.lastStartAt;
    return sinceLastStart >= m_options.maxStartInterval || (sinceLastStart >= m_options.starvationLimit && state.running == 0);
}

const queued_attempt* guaranteed_share::dueAttempt(instant now) const
{
    const class_state* mostOverdue = nullptr;
    for (const auto& [name, state] : m_classes) {
        if (state.waiting.empty())
            continue;
        // Two starts by guaranteed shares never follow each other, so that all shares together take at most half of the starts.
        const bool isShareDue = shareOf(name) > 0 && state.credit >= (*state.waiting.begin())->cost && !m_lastStartWasGuaranteed;
        if (!isShareDue && !isStarving(state, now))
            continue;
        if (!mostOverdue || state.lastStartAt < mostOverdue->lastStartAt)
            mostOverdue = &state;
    }
    return mostOverdue ? *mostOverdue->waiting.begin() : nullptr;
}

double guaranteed_share::shareOf(const std::string& className) const
{
    static const double defaultShare = request_class {}.guaranteedShare;
    const auto* requestClass = m_classLookup->find(className);
    return requestClass ? requestClass->guaranteedShare : defaultShare;
}

} // namespace kumquat
