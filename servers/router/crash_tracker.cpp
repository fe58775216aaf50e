#include "servers/router/crash_tracker.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A request is refused after this many independent crashes.
    constexpr int requestCrashLimit = 3;
    // A prompt part is refused after this many, if it explains most crashes of its time.
    constexpr int partCrashLimit = 3;
    // Otherwise after this many. A part that is only often beside the reason rarely goes so long without an answer.
    constexpr int doubtfulPartCrashLimit = 5;
    // The share of crashes that counts as most: routers that are cut off cause some that the others can't explain.
    constexpr double explainedShare = 0.5;
    // A part is not the reason of another one's crashes if it was at less than this share of them.
    constexpr double dominantShare = 0.75;
    // Crashes of other suspects in this time before the last one are compared with those of a suspect.
    constexpr auto comparisonTime = std::chrono::seconds(10);
    // Within this time after a crash, the reports of all routers about it have arrived.
    constexpr auto settlingTime = std::chrono::milliseconds(500);
    constexpr auto evidenceTime = std::chrono::minutes(5);
    // How long requests are refused after the last crash.
    constexpr auto refusalTime = std::chrono::minutes(10);
    // How long a refusal that has lapsed is renewed by a single crash.
    constexpr auto probationTime = std::chrono::hours(1);
    // A router that has seen fewer answers than this since its start can't tell that a prompt part is never answered.
    constexpr std::size_t minObservedAnswers = 20;
    // Of suspects, and of those that were answered.
    constexpr std::size_t maxSuspects = 4096;
    constexpr std::size_t maxCrashesPerSuspect = 16;
    constexpr std::size_t maxKnownCrashes = 512;

} // namespace

void crash_tracker::recordCrash(const crash_report& report, news_origin origin, instant now)
{
    expire(now);
    if (addCrash(report, origin, now))
        judge(report.suspect);
}

bool crash_tracker::addCrash(const crash_report& report, news_origin origin, instant now)
{
    const auto at = now - report.age;
    recallAnswer(report.suspect, now);
    auto& crash = findOrAddCrash(report.upstream, at);
    if (report.suspect.kind == suspect_kind::prompt_part && m_refusals.contains(report.suspect))
        explainCrash(crash);
    else if (report.suspect.kind == suspect_kind::prompt_part && crash.explained)
        return false;
    const auto answer = m_answers.find(report.suspect);
    if (answer != m_answers.end() && answer->second.answer.at >= at)
        return false;
    auto& crashes = m_crashes[report.suspect];
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const observed_crash& item) { return isSameCrash(item, report.upstream, at); });
    if (known != crashes.end()) {
        known->origin = std::min(known->origin, origin);
        return false;
    }
    if (crashes.size() == maxCrashesPerSuspect)
        crashes.erase(crashes.begin());
    const auto position = std::find_if(crashes.begin(), crashes.end(), [at](const observed_crash& item) { return item.at > at; });
    crashes.insert(position, { report.upstream, report.request, report.position, at, origin, now });
    if (m_crashes.size() > maxSuspects)
        evictOldestSuspect();
    return true;
}

void crash_tracker::judge(const crash_suspect& suspect)
{
    const auto found = m_crashes.find(suspect);
    if (found == m_crashes.end())
        return;
    const auto& crashes = found->second;
    const auto lastCrashAt = crashes.back().at;
    const int count = countIndependent(suspect.kind, crashes);
    if (const auto refused = m_refusals.find(suspect); refused != m_refusals.end()) {
        const bool lapsed = lastCrashAt - refused->second.lastCrashAt >= refusalTime;
        refused->second.lastCrashAt = std::max(refused->second.lastCrashAt, lastCrashAt);
        if (lapsed)
            m_newRefusals.push_back({ suspect, count });
        return;
    }
    if (suspect.kind == suspect_kind::request && count >= requestCrashLimit)
        refuse(suspect, lastCrashAt, count);
}

void crash_tracker::judgeSettled(instant now)
{
    // Reports of one crash arrive one after the other. A suspect that is only beside the reason must not be judged without it.
    const auto settledBefore = now - settlingTime;
    std::vector<std::pair<crash_suspect, observed_crashes>> candidates;
    for (const auto& [suspect, crashes] : m_crashes) {
        if (m_refusals.contains(suspect))
            continue;
        const auto end = std::find_if(crashes.begin(), crashes.end(), [settledBefore](const observed_crash& item) { return item.at > settledBefore; });
        if (end - crashes.begin() >= std::min(requestCrashLimit, partCrashLimit))
            candidates.emplace_back(suspect, observed_crashes(crashes.begin(), end));
    }
    // What a deeper part explains no longer counts against one that begins the prompt.
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.second.back().position > right.second.back().position; });
    for (const auto& [suspect, crashes] : candidates) {
        if (isReason(suspect, crashes))
            refuse(suspect, m_crashes.at(suspect).back().at, count(suspect, crashes));
    }
}

int crash_tracker::count(const crash_suspect& suspect, const observed_crashes& crashes) const
{
    return isNeverAnswered(suspect) ? countCoinciding(suspect.kind, crashes, m_knownCrashes) : countIndependent(suspect.kind, crashes);
}

bool crash_tracker::isNeverAnswered(const crash_suspect& suspect) const
{
    const bool wouldBeKnown = suspect.kind == suspect_kind::request || m_history.recordedCount() >= minObservedAnswers;
    return wouldBeKnown && !m_answers.contains(suspect);
}

bool crash_tracker::isReason(const crash_suspect& suspect, const observed_crashes& crashes) const
{
    if (suspect.kind == suspect_kind::request)
        return count(suspect, crashes) >= requestCrashLimit;
    // Another part may have been found to be the reason of some of these crashes just now.
    const bool isExplainedInPart = std::any_of(crashes.begin(), crashes.end(), [this](const observed_crash& item) { return isExplained(item); });
    return !isExplainedInPart && isReasonablePart(suspect, crashes);
}

bool crash_tracker::isReasonablePart(const crash_suspect& suspect, const observed_crashes& crashes) const
{
    const int counted = count(suspect, crashes);
    const bool isLikely = counted >= doubtfulPartCrashLimit || (counted >= partCrashLimit && explainsMostCrashes(crashes));
    return isLikely && std::none_of(m_crashes.begin(), m_crashes.end(), [&](const auto& other) { return isBetterReason(other.first, other.second, suspect, crashes); });
}

bool crash_tracker::isExplained(const observed_crash& crash) const
{
    return std::any_of(m_knownCrashes.begin(), m_knownCrashes.end(), [&crash](const known_crash& item) { return item.explained && isSameCrash(item, crash.upstream, crash.at); });
}

bool crash_tracker::explainsMostCrashes(const observed_crashes& crashes) const
{
    const auto from = std::min(crashes.front().at, crashes.back().at - comparisonTime);
    const auto all = std::count_if(m_knownCrashes.begin(), m_knownCrashes.end(), [from](const known_crash& item) { return item.at >= from && !item.explained; });
    const auto explained = std::count_if(crashes.begin(), crashes.end(), [from](const observed_crash& item) { return item.at >= from; });
    return static_cast<double>(explained) >= explainedShare * static_cast<double>(all);
}

bool crash_tracker::isBetterReason(const crash_suspect& other, const observed_crashes& otherCrashes, const crash_suspect& suspect, const observed_crashes& crashes) const
{
    if (other == suspect)
        return false;
    // One request that was there at all of them, also if it is refused already.
    if (other.kind == suspect_kind::request)
        return containsAll(otherCrashes, crashes);
    if (m_refusals.contains(other))
        return false;
    const auto shared = sharedCrashes(otherCrashes, crashes);
    if (isNeverAnswered(other) != isNeverAnswered(suspect))
        return isNeverAnswered(other) && count(other, shared) >= partCrashLimit;
    // What was at all of these crashes and many more leaves fewer without a reason.
    if (isNeverAnswered(other) && shared.size() == crashes.size() && static_cast<double>(crashes.size()) < dominantShare * static_cast<double>(otherCrashes.size()))
        return true;
    // Crashes at one moment don't tell two parts apart that were at all of them.
    if (countIndependent(suspect.kind, crashes) < partCrashLimit && shared.size() == crashes.size())
        return true;
    const auto position = crashes.back().position;
    const auto otherPosition = otherCrashes.back().position;
    // To refuse a part that begins many prompts does the most harm, so a deeper one that may be the reason goes first.
    if (otherPosition > position)
        return count(other, shared) >= partCrashLimit && static_cast<double>(shared.size()) >= dominantShare * static_cast<double>(crashes.size());
    const bool isDoubtful = count(suspect, crashes) < doubtfulPartCrashLimit;
    return otherPosition == position && isDoubtful && containsAll(otherCrashes, crashes);
}

void crash_tracker::refuse(const crash_suspect& suspect, instant lastCrashAt, int crashes)
{
    m_refusals[suspect] = { lastCrashAt };
    m_newRefusals.push_back({ suspect, crashes });
    const auto found = m_crashes.find(suspect);
    if (suspect.kind != suspect_kind::prompt_part || found == m_crashes.end())
        return;
    for (const auto& crash : observed_crashes(found->second))
        explainCrash(findOrAddCrash(crash.upstream, crash.at));
}

known_crash& crash_tracker::findOrAddCrash(std::uint32_t upstream, instant at)
{
    const auto found = std::find_if(m_knownCrashes.begin(), m_knownCrashes.end(), [&](const known_crash& item) { return isSameCrash(item, upstream, at); });
    if (found != m_knownCrashes.end())
        return *found;
    if (m_knownCrashes.size() == maxKnownCrashes)
        m_knownCrashes.erase(m_knownCrashes.begin());
    return m_knownCrashes.emplace_back(known_crash { upstream, at, false });
}

void crash_tracker::explainCrash(known_crash& crash)
{
    if (std::exchange(crash.explained, true))
        return;
    for (auto& [suspect, crashes] : m_crashes) {
        if (suspect.kind == suspect_kind::prompt_part && !m_refusals.contains(suspect))
            std::erase_if(crashes, [&crash](const observed_crash& item) { return isSameCrash(item, crash.upstream, crash.at); });
    }
    std::erase_if(m_crashes, [](const auto& item) { return item.second.empty(); });
}

void crash_tracker::recallAnswer(const crash_suspect& suspect, instant now)
{
    const auto answer = m_history.find(suspect);
    if (!answer || now - answer->at > evidenceTime)
        return;
    rememberAnswer(suspect, *answer, now);
}

void crash_tracker::rememberAnswer(const crash_suspect& suspect, const observed_answer& answer, instant now)
{
    auto& latest = m_answers[suspect];
    if (latest.answer.at < answer.at)
        latest = { answer, now };
    if (m_answers.size() > maxSuspects)
        m_answers.erase(std::min_element(m_answers.begin(), m_answers.end(), [](const auto& left, const auto& right) { return left.second.answer.at < right.second.answer.at; }));
}

void crash_tracker::recordAnswer(const std::vector<crash_suspect>& suspects, instant answeredAt, news_origin origin, instant now)
{
    for (const auto& suspect : suspects) {
        m_history.record(suspect, { answeredAt, origin });
        const auto found = m_crashes.find(suspect);
        const auto refused = m_refusals.find(suspect);
        if (found == m_crashes.end() && refused == m_refusals.end())
            continue;
        rememberAnswer(suspect, { answeredAt, origin }, now);
        if (found != m_crashes.end()) {
            std::erase_if(found->second, [answeredAt](const observed_crash& item) { return item.at <= answeredAt; });
            if (found->second.empty())
                m_crashes.erase(found);
        }
        if (refused != m_refusals.end() && refused->second.lastCrashAt <= answeredAt) {
            m_refusals.erase(refused);
            if (origin == news_origin::own)
                m_liftedRefusals.push_back(suspect);
        }
    }
}

std::optional<duration> crash_tracker::refusedFor(const crash_suspect& suspect, instant now) const
{
    const auto found = m_refusals.find(suspect);
    if (found == m_refusals.end())
        return std::nullopt;
    const duration left = found->second.lastCrashAt + refusalTime - now;
    return left > duration::zero() ? std::optional(left) : std::nullopt;
}

int crash_tracker::crashCount(const crash_suspect& suspect) const
{
    const auto found = m_crashes.find(suspect);
    return found == m_crashes.end() ? 0 : count(suspect, found->second);
}

int crash_tracker::crashesSeen(const crash_suspect& suspect) const
{
    const auto found = m_crashes.find(suspect);
    return found == m_crashes.end() ? 0 : static_cast<int>(found->second.size());
}

void crash_tracker::expire(instant now)
{
    for (auto& [suspect, crashes] : m_crashes)
        std::erase_if(crashes, [now](const observed_crash& crash) { return now - crash.at > evidenceTime; });
    std::erase_if(m_crashes, [](const auto& item) { return item.second.empty(); });
    std::erase_if(m_knownCrashes, [now](const known_crash& item) { return now - item.at > evidenceTime; });
    std::erase_if(m_answers, [now](const auto& item) { return now - item.second.answer.at > evidenceTime; });
    std::erase_if(m_refusals, [now](const auto& item) { return now - item.second.lastCrashAt > refusalTime + probationTime; });
}

void crash_tracker::evictOldestSuspect()
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) { return left.second.back().at < right.second.back().at; });
    m_crashes.erase(oldest);
}

} // namespace kumquat::router
