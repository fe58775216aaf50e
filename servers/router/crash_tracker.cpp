#include "servers/router/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

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
    // Crashes of other suspects in this time before the last one are compared with those of a suspect.
    constexpr auto comparisonTime = std::chrono::seconds(10);
    // Upstreams that fail within this time of each other may have failed for one reason outside the requests.
    constexpr auto independenceTime = std::chrono::milliseconds(250);
    // Routers notice one crash of an upstream within this time of each other.
    constexpr auto sameCrashTime = std::chrono::milliseconds(1500);
    // Within this time after a crash, the reports of all routers about it have arrived.
    constexpr auto settlingTime = std::chrono::milliseconds(500);
    constexpr auto evidenceTime = std::chrono::minutes(5);
    // How long requests are refused after the last crash.
    constexpr auto refusalTime = std::chrono::minutes(10);
    // How long a refusal that has lapsed is renewed by a single crash.
    constexpr auto probationTime = std::chrono::hours(1);
    constexpr std::size_t maxSuspects = 4096;
    constexpr std::size_t maxCrashesPerSuspect = 16;
    constexpr std::size_t maxKnownCrashes = 512;

    template <typename Crash>
    bool isSameCrash(const Crash& crash, std::uint32_t upstream, instant at)
    {
        return crash.upstream == upstream && crash.at - at < sameCrashTime && at - crash.at < sameCrashTime;
    }

    // Counts crashes that are apart in time; those of one request count once for a prompt part.
    template <typename Crashes>
    int countIndependent(suspect_kind kind, const Crashes& crashes)
    {
        std::unordered_set<std::uint32_t> requests;
        std::optional<instant> last;
        int count = 0;
        for (const auto& crash : crashes) {
            if (last && crash.at - *last < independenceTime)
                continue;
            if (kind == suspect_kind::prompt_part && !requests.insert(crash.request).second)
                continue;
            last = crash.at;
            ++count;
        }
        return count;
    }

    template <typename Crash>
    bool contains(const std::vector<Crash>& crashes, const Crash& crash)
    {
        return std::any_of(crashes.begin(), crashes.end(), [&crash](const Crash& item) { return isSameCrash(item, crash.upstream, crash.at); });
    }

    template <typename Crash>
    bool containsAll(const std::vector<Crash>& all, const std::vector<Crash>& some)
    {
        return std::all_of(some.begin(), some.end(), [&all](const Crash& crash) { return contains(all, crash); });
    }

    // The crashes of the first list that the second one has too.
    template <typename Crash>
    std::vector<Crash> sharedCrashes(const std::vector<Crash>& first, const std::vector<Crash>& second)
    {
        std::vector<Crash> shared;
        std::copy_if(first.begin(), first.end(), std::back_inserter(shared), [&second](const Crash& crash) { return contains(second, crash); });
        return shared;
    }

} // namespace

void crash_tracker::recordCrash(const crash_report& report, news_origin origin, instant now)
{
    expire(now);
    if (addCrash(report, now - report.age, origin))
        judge(report.suspect);
}

bool crash_tracker::addCrash(const crash_report& report, instant at, news_origin origin)
{
    auto& crash = findOrAddCrash(report.upstream, at);
    if (report.suspect.kind == suspect_kind::prompt_part && m_refusals.contains(report.suspect))
        explainCrash(crash);
    else if (crash.explained)
        return false;
    const auto answer = m_answers.find(report.suspect);
    if (answer != m_answers.end() && answer->second.at >= at)
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
    crashes.insert(position, { report.upstream, report.request, report.position, at, origin });
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

void crash_tracker::judgePromptParts(instant now)
{
    // Reports of one crash arrive one after the other. A part that is only beside the reason must not be judged without it.
    const auto settledBefore = now - settlingTime;
    std::vector<std::pair<crash_suspect, observed_crashes>> candidates;
    for (const auto& [suspect, crashes] : m_crashes) {
        if (suspect.kind != suspect_kind::prompt_part || m_refusals.contains(suspect))
            continue;
        const auto end = std::find_if(crashes.begin(), crashes.end(), [settledBefore](const observed_crash& item) { return item.at > settledBefore; });
        if (end - crashes.begin() >= partCrashLimit)
            candidates.emplace_back(suspect, observed_crashes(crashes.begin(), end));
    }
    for (const auto& [suspect, crashes] : candidates) {
        if (isReason(suspect, crashes))
            refuse(suspect, m_crashes.at(suspect).back().at, countIndependent(suspect.kind, crashes));
    }
}

bool crash_tracker::isReason(const crash_suspect& suspect, const observed_crashes& crashes) const
{
    // Another part may have been found to be the reason of some of these crashes just now.
    if (std::any_of(crashes.begin(), crashes.end(), [this](const observed_crash& item) { return isExplained(item); }))
        return false;
    const int count = countIndependent(suspect.kind, crashes);
    const bool isLikely = count >= doubtfulPartCrashLimit || (count >= partCrashLimit && explainsMostCrashes(crashes));
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
    const auto position = crashes.back().position;
    const auto otherPosition = otherCrashes.back().position;
    // To refuse a part that begins many prompts does the most harm, so a deeper one that may be the reason goes first.
    if (otherPosition > position)
        return countIndependent(other.kind, sharedCrashes(otherCrashes, crashes)) >= partCrashLimit;
    const bool isDoubtful = countIndependent(suspect.kind, crashes) < doubtfulPartCrashLimit;
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

crash_tracker::known_crash& crash_tracker::findOrAddCrash(std::uint32_t upstream, instant at)
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
        if (!m_refusals.contains(suspect))
            std::erase_if(crashes, [&crash](const observed_crash& item) { return isSameCrash(item, crash.upstream, crash.at); });
    }
    std::erase_if(m_crashes, [](const auto& item) { return item.second.empty(); });
}

void crash_tracker::recordAnswer(const std::vector<crash_suspect>& suspects, instant answeredAt, news_origin origin)
{
    for (const auto& suspect : suspects) {
        const auto found = m_crashes.find(suspect);
        const auto refused = m_refusals.find(suspect);
        if (found == m_crashes.end() && refused == m_refusals.end())
            continue;
        auto& answer = m_answers[suspect];
        if (answer.at < answeredAt)
            answer = { answeredAt, origin };
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
    return found == m_crashes.end() ? 0 : countIndependent(suspect.kind, found->second);
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
    std::erase_if(m_answers, [now](const auto& item) { return now - item.second.at > evidenceTime; });
    std::erase_if(m_refusals, [now](const auto& item) { return now - item.second.lastCrashAt > refusalTime + probationTime; });
}

void crash_tracker::evictOldestSuspect()
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) { return left.second.back().at < right.second.back().at; });
    m_crashes.erase(oldest);
}

} // namespace kumquat::router
