#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

bool slot_scheduler::isPreemptible(const scheduled_attempt& attempt) const
{
    // An attempt that started by the guaranteed share of its class would be preempted as soon as it ran, because attempts of
    // higher tiers wait.
    if (!isFair() || attempt.guaranteed || attempt.queueItem.suspect)
        return false;
    const bool canResume = m_options.kind == service_kind::engine && attempt.kind == service_kind::engine;
    return canResume && attempt.repeatable && attempt.preemptions < m_options.preemptionLimit;
}

void slot_scheduler::startUrgentAttempts(instant now, schedule_actions& actions)
{
    if (!m_healthy || runningCount() < usableSlots())
        return;
    while (const auto id = m_queue.popDueUrgent(now))
        startUrgent(queued_attempt(*m_queue.find(*id)), now, actions);
}

void slot_scheduler::startUrgent(const queued_attempt& urgent, instant now, schedule_actions& actions)
{
    while (m_healthy && m_queue.find(urgent.attempt)) {
        const bool mustWait = urgent.suspect && m_suspects.isSuspectRunning();
        if (mustWait || !openSlotFor(urgent, now, actions))
            return;
        // The slot goes to the urgent attempt, unless an attempt of a higher tier waits.
        if (m_queue.hasHigherTier(urgent.tierRank)) {
            if (!startNext(slot_cause::preempted, now, actions))
                return;
            continue;
        }
        begin({ *m_queue.popOutOfTurn(urgent.attempt, now), false }, now, actions);
    }
}

bool slot_scheduler::openSlotFor(const queued_attempt& urgent, instant now, schedule_actions& actions)
{
    if (mayExceedLimit(urgent))
        return true;
    const auto victim = m_candidates.cheapestBelow(urgent.tierRank);
    if (!victim)
        return false;
    preempt(*victim, urgent.tierRank, now, actions);
    return true;
}

// Whether the attempt may start beyond the concurrency limit instead of preempting. One more run slows all runs a little,
// whereas a preempted run has its prompt prefilled again. Therefore a run is preempted only if all configured slots are in
// use. Otherwise the limit is exceeded until runs of lower tiers end.
bool slot_scheduler::mayExceedLimit(const queued_attempt& urgent) const
{
    const auto lowerRunning = m_tierLoads.runningInLowerTiers(urgent.tierRank);
    if (runningCount() >= m_options.slots || lowerRunning == 0)
        return false;
    // An attempt that would be refused at its start deadline must not be refused while a lower tier runs. Any other attempt
    // may exceed the limit by no more than the number of running attempts of lower tiers.
    if (urgent.deadline == urgent.startDeadline)
        return true;
    const auto usable = usableSlots();
    const auto exceeding = runningCount() > usable ? runningCount() - usable : 0;
    return exceeding < lowerRunning;
}

void slot_scheduler::preempt(const preemption_candidates::candidate& victim, std::uint32_t preemptorRank, instant now, schedule_actions& actions)
{
    auto& attempt = m_attempts.at(victim.attempt);
    auto& queueItem = attempt.queueItem;
    releaseSlot(attempt, now);
    m_suspects.recordInconclusiveEnd(victim.attempt);
    m_tierLoads.add(tier_load_counter::stage::queued, queueItem.tierRank, attempt.remainingTokens);
    m_invariants.recordPreemption(victim.attempt, preemptorRank);
    attempt.preemptions++;
    attempt.earlierSlotTime += now - attempt.startedAt;
    queueItem.resumes = true;
    queueItem.charge = 0;
    queueItem.cost = std::max(attempt.remainingTokens, 1U);
    queueItem.startDeadline = instant::min();
    queueItem.urgentAt = instant::max();
    queueItem.deadline = attempt.deadline;
    m_queue.push(queueItem, now);
    actions.push_back(preempt_attempt { victim.attempt });
}

} // namespace kumquat
