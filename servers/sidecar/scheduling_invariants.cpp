#include "servers/sidecar/scheduling_invariants.h"

namespace kumquat {

namespace {

    constexpr std::size_t keptViolations = 16;

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

bool scheduling_invariants::hasBelow(const tier_counts& counts, std::uint32_t tierRank)
{
    return !counts.empty() && counts.rbegin()->first > tierRank;
}

bool scheduling_invariants::hasAbove(const tier_counts& counts, std::uint32_t tierRank)
{
    return !counts.empty() && counts.begin()->first < tierRank;
}

void scheduling_invariants::leave(known_attempt& known)
{
    const bool isWaiting = known.state == phase::queued || known.state == phase::preempted;
    if (isWaiting && !known.suspect)
        subtract(m_waiting, known.tierRank);
    if (known.state == phase::queued)
        subtract(m_unstarted, known.tierRank);
    if (known.state == phase::running && known.preemptible)
        subtract(m_preemptible, known.tierRank);
}

void scheduling_invariants::queued(const attempt_id& attempt, std::uint32_t tierRank, bool suspect)
{
    auto& known = m_attempts[attempt];
    if (known.closed || known.starts > 0)
        violated(attempt, "queued although it had been refused, withdrawn or started");
    leave(known);
    known.tierRank = tierRank;
    known.suspect = suspect;
    known.state = phase::queued;
    if (!suspect)
        add(m_waiting, tierRank);
    add(m_unstarted, tierRank);
}

void scheduling_invariants::suspected(const attempt_id& attempt)
{
    auto& known = m_attempts[attempt];
    const bool isWaiting = known.state == phase::queued || known.state == phase::preempted;
    if (isWaiting && !known.suspect)
        subtract(m_waiting, known.tierRank);
    known.suspect = true;
}

void scheduling_invariants::shed(const attempt_id& attempt, std::uint32_t tierRank, shed_cause cause)
{
    auto& known = m_attempts[attempt];
    if (known.starts > 0)
        violated(attempt, "refused as never run although it had started");
    leave(known);
    known.state = phase::ended;
    known.closed = true;
    if (!m_checksTiers || cause == shed_cause::other)
        return;
    if (cause == shed_cause::queue_full && hasBelow(m_unstarted, tierRank))
        violated(attempt, "shed from a full queue while an attempt of a lower tier was queued");
    if (hasBelow(m_preemptible, tierRank))
        violated(attempt, "shed while a preemptible attempt of a lower tier ran");
}

void scheduling_invariants::started(const attempt_id& attempt, std::uint32_t tierRank, start_cause cause, bool preemptible, bool resumes)
{
    auto& known = m_attempts[attempt];
    if (known.closed)
        violated(attempt, "started after it had been refused, withdrawn or ended");
    if (known.starts > known.preemptions)
        violated(attempt, "started twice without a preemption in between");
    if ((known.starts > 0) != resumes)
        violated(attempt, "resumed without an earlier start, or started anew after one");
    leave(known);
    if (m_checksTiers && cause == start_cause::in_order && hasAbove(m_waiting, tierRank))
        violated(attempt, "started while an attempt of a higher tier waited");
    known.starts++;
    known.tierRank = tierRank;
    known.preemptible = preemptible;
    known.state = phase::running;
    if (preemptible)
        add(m_preemptible, tierRank);
}

void scheduling_invariants::preempted(const attempt_id& victim, std::uint32_t preemptorRank)
{
    auto& known = m_attempts[victim];
    if (known.state != phase::running || !known.preemptible)
        violated(victim, "preempted although it was not running or not preemptible");
    if (known.tierRank <= preemptorRank)
        violated(victim, "preempted for an attempt that is not of a higher tier");
    if (hasBelow(m_preemptible, known.tierRank))
        violated(victim, "preempted while a preemptible attempt of a lower tier ran");
    leave(known);
    known.preemptions++;
    known.suspect = false;
    known.state = phase::preempted;
    add(m_waiting, known.tierRank);
}

void scheduling_invariants::ended(const attempt_id& attempt)
{
    auto& known = m_attempts[attempt];
    leave(known);
    known.state = phase::ended;
    known.closed = true;
}

void scheduling_invariants::forgotten(const attempt_id& attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    leave(found->second);
    m_attempts.erase(found);
}

void scheduling_invariants::violated(const attempt_id& attempt, const std::string& sentence)
{
    m_violationCount++;
    if (m_violations.size() < keptViolations)
        m_violations.push_back("attempt " + std::to_string(attempt.attempt) + " of request '" + attempt.requestId + "' was " + sentence);
}

} // namespace kumquat
