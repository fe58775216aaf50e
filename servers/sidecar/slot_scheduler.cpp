#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using shed_cause = scheduling_invariants::shed_cause;
    using std::chrono::milliseconds;
    constexpr milliseconds retryAfterOverload { 1000 };
    constexpr std::uint32_t smallestObservedStretchTokens = 8;

} // namespace

slot_scheduler::slot_scheduler(const sidecar_options& options)
    : m_options(options)
    , m_queue(m_options.policy, m_classLookup, { .starvationLimit = m_options.starvationLimit, .longestPause = m_options.longestPause })
    , m_limit(m_options.slots)
    , m_suspects({ .suspicion = m_options.suspicionTime, .refusal = m_options.refusalTime })
    , m_invariants(!std::holds_alternative<fifo_scheduling>(m_options.policy))
{
}

std::uint32_t slot_scheduler::usableSlots() const
{
    return isFair() ? std::min(m_limit.value(), m_options.slots) : m_options.slots;
}

std::optional<instant> slot_scheduler::nextDeadline() const
{
    const auto queue = m_queue.nextDeadline();
    const auto suspects = m_suspects.nextDeadline();
    if (!queue || !suspects)
        return queue ? queue : suspects;
    return std::min(*queue, *suspects);
}

void slot_scheduler::fill(instant now, schedule_actions& actions)
{
    m_suspects.expire(now);
    applySuspicions(now, actions);
    startAllUrgent(now, actions);
    dropExpired(now, actions);
    while (m_healthy && runningCount() < usableSlots()) {
        if (!fillOne(slot_cause::freed, now, actions))
            break;
    }
    startAllUrgent(now, actions);
    dropUrgencyBesideFreeSlots(now);
}

void slot_scheduler::dropUrgencyBesideFreeSlots(instant now)
{
    if (m_healthy && runningCount() >= usableSlots())
        return;
    while (m_queue.popUrgent(now))
        continue;
}

bool slot_scheduler::fillOne(slot_cause cause, instant now, schedule_actions& actions)
{
    const auto popped = m_queue.popNext(cause, m_suspects.suspectRuns(), now);
    if (!popped)
        return false;
    begin(*popped, now, actions);
    return true;
}

void slot_scheduler::begin(const popped_attempt& popped, instant now, schedule_actions& actions)
{
    const auto& id = popped.attempt.attempt;
    auto& attempt = m_attempts.at(id);
    attempt.facts = popped.attempt;
    attempt.guaranteed = popped.guaranteed;
    attempt.startedAt = now;
    attempt.lastOutputAt.reset();
    attempt.stretchTokens = 0;
    attempt.stretchTime = duration { 0 };
    attempt.charged += attempt.facts.charge;
    m_running.insert(id);
    m_releasesPerSecond += releaseRate(attempt);
    m_tierLoads.remove(tier_load_counter::stage::queued, attempt.facts.tierRank, attempt.remainingTokens);
    m_tierLoads.add(tier_load_counter::stage::running, attempt.facts.tierRank, attempt.remainingTokens);
    m_suspects.started(id, attempt.facts.fingerprint, attempt.facts.suspect);
    const bool preemptible = mayPreempt(attempt);
    if (preemptible)
        m_candidates.add({ id, attempt.facts.tierRank, attempt.preemptions, now });
    const auto cause = popped.guaranteed ? scheduling_invariants::start_cause::guaranteed_share : scheduling_invariants::start_cause::in_order;
    m_invariants.started(id, attempt.facts.tierRank, cause, preemptible, attempt.facts.resumes);
    actions.push_back(begin_attempt { id, attempt.facts.resumes });
}

void slot_scheduler::leaveSlot(const scheduled_attempt& attempt, instant now)
{
    const auto& facts = attempt.facts;
    m_running.erase(facts.attempt);
    m_releasesPerSecond = m_running.empty() ? 0 : m_releasesPerSecond - releaseRate(attempt);
    m_candidates.remove(facts.attempt);
    m_queue.ended(facts, now);
    m_tierLoads.remove(tier_load_counter::stage::running, facts.tierRank, attempt.remainingTokens);
}

void slot_scheduler::dropExpired(instant now, schedule_actions& actions)
{
    for (const auto& facts : m_queue.removeExpired(now)) {
        const auto hardDeadline = m_attempts.at(facts.attempt).deadline;
        if (facts.resumes || hardDeadline <= now) {
            dropWaiting(facts, { .reason = error_code::timeout, .message = "request timed out before a slot became free", .retryAfter = retryAfterOverload }, actions);
            continue;
        }
        // Only an attempt that is dropped exactly at its start deadline is checked against the runs of lower tiers. Later it
        // could not have met its target, whatever ran instead.
        const bool couldHaveGone = facts.startBy == now && !facts.suspect;
        const auto cause = couldHaveGone ? shed_cause::target_unreachable : shed_cause::other;
        shed(facts, cause, { .reason = error_code::target_unreachable, .message = "no slot became free within the latency target of class '" + facts.className + "'", .retryAfter = retryAfter(predictedWait(facts)) }, actions);
    }
}

void slot_scheduler::ended(const attempt_id& id, run_end how, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    if (attempt.kind == service_kind::engine)
        m_queue.charge(attempt.facts.tierRank, attempt.facts.organisation, std::max(attempt.producedTokens, 1U) - attempt.charged);
    observePace(attempt, smallestObservedStretchTokens, now);
    leaveSlot(attempt, now);
    if (how == run_end::finished) {
        m_statistics.recordFinishedRun(attempt.facts.className, attempt.producedTokens, attempt.ranBefore + (now - attempt.startedAt));
        m_suspects.survived(id);
    } else if (how == run_end::connection_broke) {
        m_suspects.connectionBroke(id, now);
    } else {
        m_suspects.ended(id);
    }
    m_invariants.ended(id);
    m_attempts.erase(id);
}

void slot_scheduler::setHealthy(bool healthy, instant now, schedule_actions& actions)
{
    m_healthy = healthy;
    if (healthy) {
        m_suspects.regainedHealth();
        return;
    }
    m_suspects.lostHealth(now);
    applySuspicions(now, actions);
    const auto message = "upstream '" + m_options.id + "' does not respond";
    for (const auto& facts : m_queue.removeIf([](const queued_attempt&) { return true; }, now))
        dropWaiting(facts, { .reason = error_code::no_upstream, .message = message, .retryAfter = retryAfterOverload }, actions);
}

void slot_scheduler::applySuspicions(instant now, schedule_actions& actions)
{
    if (m_appliedSuspicions == m_suspects.version())
        return;
    m_appliedSuspicions = m_suspects.version();
    const auto isRefused = [this](const queued_attempt& waiting) { return m_suspects.isRefused(waiting.fingerprint); };
    for (const auto& facts : m_queue.removeIf(isRefused, now))
        refuseCrashingRequest(facts, now, actions);
    const auto isNewSuspect = [this](const queued_attempt& waiting) { return !waiting.suspect && m_suspects.isSuspect(waiting.fingerprint); };
    for (auto facts : m_queue.removeIf(isNewSuspect, now)) {
        facts.suspect = true;
        m_invariants.suspected(facts.attempt);
        m_queue.push(std::move(facts), now);
    }
}

} // namespace kumquat
