#include "servers/router/crash_tracker.h"
#include "servers/router/rotation.h"

// What routers tell each other about crashes, and what they learn from it.

namespace kumquat::router {

namespace {

    // Refusals that lapse within this time are no longer reported, so that routers with slightly different times don't renew each
    // other's refusals for ever.
    constexpr auto minReportedRefusal = std::chrono::seconds(10);
    // Crashes and answers are reported for this time.
    constexpr auto reportTime = std::chrono::seconds(5);
    constexpr std::size_t maxReportedRefusals = 6;
    constexpr std::size_t maxReportedAnswers = 6;

    std::chrono::milliseconds ageOf(instant time, instant now)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(now - time);
    }

} // namespace

void crash_tracker::learn(const crash_news& reported, news_origin origin, instant now)
{
    if (reported.size() == 0)
        return;
    expire(now);
    for (const auto& [suspect, age] : reported.refused) {
        const auto lastCrashAt = now - age;
        const auto answer = m_answers.find(suspect);
        const bool wasAnswered = answer != m_answers.end() && answer->second.answer.at >= lastCrashAt;
        // A refusal that is known keeps its time, since the reported one includes the time that the report took.
        if (!wasAnswered && !m_refusals.contains(suspect))
            refuse(suspect, lastCrashAt, 0);
    }
    for (const auto& [suspect, age] : reported.answered)
        recordAnswer({ suspect }, now - age, origin, now);
    for (const auto& crash : reported.crashes) {
        if (addCrash(crash, origin, now))
            judge(crash.suspect);
    }
}

crash_news crash_tracker::ownNews(std::size_t maxItems, instant now)
{
    return news(maxItems, news_origin::own, now);
}

crash_news crash_tracker::dataCentreNews(std::size_t maxItems, instant now)
{
    return news(maxItems, news_origin::own_data_centre, now);
}

crash_news crash_tracker::news(std::size_t maxItems, news_origin widest, instant now)
{
    crash_news result;
    if (empty() && m_answers.empty())
        return result;
    expire(now);
    ++m_rotation;
    for (const auto& [suspect, state] : m_refusals) {
        if (refusedFor(suspect, now).value_or(duration::zero()) > minReportedRefusal)
            result.refused.push_back({ suspect, ageOf(state.lastCrashAt, now) });
    }
    for (const auto& [suspect, reported] : m_answers) {
        const auto& answer = reported.answer;
        // That a suspect was answered before its only crash is of no use to others.
        const bool isOfUse = answer.at >= reported.reportedSince - reportTime || crashesSeen(suspect) > 1;
        if (answer.origin <= widest && now - reported.reportedSince < reportTime && isOfUse)
            result.answered.push_back({ suspect, ageOf(answer.at, now) });
    }
    for (const auto& [suspect, crashes] : m_crashes) {
        for (const auto& crash : crashes) {
            if (crash.origin <= widest && now - crash.knownSince < reportTime)
                result.crashes.push_back({ suspect, crash.upstream, crash.request, crash.position, ageOf(crash.at, now) });
        }
    }
    result.refused = takeRotated(std::move(result.refused), maxReportedRefusals, m_rotation);
    result.answered = takeRotated(std::move(result.answered), maxReportedAnswers, m_rotation);
    result.crashes = takeRotated(std::move(result.crashes), maxItems - std::min(maxItems, result.refused.size() + result.answered.size()), m_rotation);
    return result;
}

} // namespace kumquat::router
