#include "servers/sidecar/scheduling_invariants.h"

namespace kumquat {

namespace {

    constexpr std::size_t maxStoredViolations = 16;

    void add(std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t tierRank)
    {
        counts[tierRank]++;
    }

    void subtract(std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t tierRank)
    {
        const auto found = counts.find(tierRank);
        if (--found->second == 0)
            counts.erase(found);
    }

} // namespace

bool scheduling_invariants::hasLowerTier(const tier_counts& counts, std::uint32_t tierRank)
{
    return !counts.empty() && counts.rbegin()->first > tierRank;
}

bool scheduling_invariants::hasHigherTier(const tier_counts& counts, std::uint32_t tierRank)
{
    return !counts.empty() && counts.begin()->first < tierRank;
}

void scheduling_invariants::removeFromCounts(tracked_attempt& tracked)
{
    const bool isWaiting = tracked.state == attempt_phase::queued || tracked.state == attempt_phase::preempted;
    if (isWaiting && !tracked.suspect)
        subtract(m_waiting, tracked.tierRank);
    if (tracked.state == attempt_phase::queued)
        subtract(m_unstarted, tracked.tierRank);
    if (tracked.state == attempt_phase::running && tracked.preemptible)
        subtract(m_preemptible, tracked.tierRank);
}

void scheduling_invariants::recordQueued(const attempt_id& attempt, std::uint32_t tierRank, bool suspect)
{
    auto& tracked = m_attempts[attempt];
    if (tracked.closed || tracked.starts > 0)
        addViolation(attempt, "queued although it had been refused, withdrawn or started");
    removeFromCounts(tracked);
    tracked.tierRank = tierRank;
    tracked.suspect = suspect;
    tracked.state = attempt_phase::queued;
    if (!suspect)
        add(m_waiting, tierRank);
    add(m_unstarted, tierRank);
}

void scheduling_invariants::recordSuspect(const attempt_id& attempt)
{
    auto& tracked = m_attempts[attempt];
    const bool isWaiting = tracked.state == attempt_phase::queued || tracked.state == attempt_phase::preempted;
    if (isWaiting && !tracked.suspect)
        subtract(m_waiting, tracked.tierRank);
    tracked.suspect = true;
}

void scheduling_invariants::recordShed(const attempt_id& attempt, std::uint32_t tierRank, shed_cause cause)
{
    auto& tracked = m_attempts[attempt];
    if (tracked.starts > 0)
        addViolation(attempt, "refused as never run although it had started");
    removeFromCounts(tracked);
    tracked.state = attempt_phase::ended;
    tracked.closed = true;
    if (!m_checkTiers || cause == shed_cause::other)
        return;
    if (cause == shed_cause::queue_full && hasLowerTier(m_unstarted, tierRank))
        addViolation(attempt, "shed from a full queue while an attempt of a lower tier was queued");
    if (hasLowerTier(m_preemptible, tierRank))
        addViolation(attempt, "shed while a preemptible attempt of a lower tier ran");
}

void scheduling_invariants::recordStart(const attempt_id& attempt, std::uint32_t tierRank, start_cause cause, bool preemptible, bool resumes)
{
    auto& tracked = m_attempts[attempt];
    if (tracked.closed)
        addViolation(attempt, "started after it had been refused, withdrawn or ended");
    if (tracked.starts > tracked.preemptions)
        addViolation(attempt, "started twice without a preemption in between");
    if ((tracked.starts > 0) != resumes)
        addViolation(attempt, "resumed without an earlier start, or started anew after one");
    removeFromCounts(tracked);
    if (m_checkTiers && cause == start_cause::in_order && hasHigherTier(m_waiting, tierRank))
        addViolation(attempt, "started while an attempt of a higher tier waited");
    tracked.starts++;
    tracked.tierRank = tierRank;
    tracked.preemptible = preemptible;
    tracked.state = attempt_phase::running;
    if (preemptible)
        add(m_preemptible, tierRank);
}

void scheduling_invariants::recordPreemption(const attempt_id& victim, std::uint32_t preemptorRank)
{
    auto& tracked = m_attempts[victim];
    if (tracked.state != attempt_phase::running || !tracked.preemptible)
        addViolation(victim, "preempted although it was not running or not preemptible");
    if (tracked.tierRank <= preemptorRank)
        addViolation(victim, "preempted for an attempt that is not of a higher tier");
    if (hasLowerTier(m_preemptible, tracked.tierRank))
        addViolation(victim, "preempted while a preemptible attempt of a lower tier ran");
    removeFromCounts(tracked);
    tracked.preemptions++;
    tracked.suspect = false;
    tracked.state = attempt_phase::preempted;
    add(m_waiting, tracked.tierRank);
}

void scheduling_invariants::recordEnd(const attempt_id& attempt)
{
    auto& tracked = m_attempts[attempt];
    removeFromCounts(tracked);
    tracked.state = attempt_phase::ended;
    tracked.closed = true;
}

void scheduling_invariants::removeAttempt(const attempt_id& attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    removeFromCounts(found->second);
    m_attempts.erase(found);
}

void scheduling_invariants::addViolation(const attempt_id& attempt, const std::string& text)
{
    m_violationCount++;
    if (m_violations.size() < maxStoredViolations)
        m_violations.push_back("attempt " + std::to_string(attempt.attempt) + " of request '" + attempt.requestId + "' was " + text);
}

} // namespace kumquat
