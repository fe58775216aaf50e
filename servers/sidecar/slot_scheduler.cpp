#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using shed_cause = scheduling_invariants::shed_cause;
    using std::chrono::milliseconds;
    constexpr milliseconds retryAfterOverload { 1000 };
    constexpr std::uint32_t minLatencySampleTokens = 8;

} // namespace

slot_scheduler::slot_scheduler(const sidecar_options& options)
    : m_options(options)
    , m_queue(m_options.policy, m_classLookup, { .starvationLimit = m_options.starvationLimit, .maxStartInterval = m_options.maxStartInterval })
    , m_limit(m_options.slots)
    , m_suspects({ .suspicionTime = m_options.suspicionTime, .refusalTime = m_options.refusalTime })
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

void slot_scheduler::fillSlots(instant now, schedule_actions& actions)
{
    m_suspects.expire(now);
    applySuspects(now, actions);
    startUrgentAttempts(now, actions);
    dropExpired(now, actions);
    while (m_healthy && runningCount() < usableSlots()) {
        if (!startNext(slot_cause::freed, now, actions))
            break;
    }
    startUrgentAttempts(now, actions);
    discardDueUrgency(now);
}

void slot_scheduler::discardDueUrgency(instant now)
{
    if (m_healthy && runningCount() >= usableSlots())
        return;
    while (m_queue.popDueUrgent(now))
        continue;
}

bool slot_scheduler::startNext(slot_cause cause, instant now, schedule_actions& actions)
{
    const auto popped = m_queue.popNext(cause, m_suspects.isSuspectRunning(), now);
    if (!popped)
        return false;
    begin(*popped, now, actions);
    return true;
}

void slot_scheduler::begin(const popped_attempt& popped, instant now, schedule_actions& actions)
{
    const auto& id = popped.attempt.attempt;
    auto& attempt = m_attempts.at(id);
    attempt.queueItem = popped.attempt;
    attempt.guaranteed = popped.guaranteed;
    attempt.startedAt = now;
    attempt.lastOutputAt.reset();
    attempt.sampleTokens = 0;
    attempt.sampleTime = duration { 0 };
    attempt.chargedTokens += attempt.queueItem.charge;
    m_running.insert(id);
    m_expectedEndsPerSecond += expectedEndRate(attempt);
    m_tierLoads.remove(tier_load_counter::stage::queued, attempt.queueItem.tierRank, attempt.remainingTokens);
    m_tierLoads.add(tier_load_counter::stage::running, attempt.queueItem.tierRank, attempt.remainingTokens);
    m_suspects.recordStart(id, attempt.queueItem.fingerprint, attempt.queueItem.suspect);
    const bool preemptible = isPreemptible(attempt);
    if (preemptible)
        m_candidates.add({ id, attempt.queueItem.tierRank, attempt.preemptions, now });
    const auto cause = popped.guaranteed ? scheduling_invariants::start_cause::guaranteed_share : scheduling_invariants::start_cause::in_order;
    m_invariants.recordStart(id, attempt.queueItem.tierRank, cause, preemptible, attempt.queueItem.resumes);
    actions.push_back(begin_attempt { id, attempt.queueItem.resumes });
}

void slot_scheduler::releaseSlot(const scheduled_attempt& attempt, instant now)
{
    const auto& queueItem = attempt.queueItem;
    m_running.erase(queueItem.attempt);
    m_expectedEndsPerSecond = m_running.empty() ? 0 : m_expectedEndsPerSecond - expectedEndRate(attempt);
    m_candidates.remove(queueItem.attempt);
    m_queue.recordEnd(queueItem, now);
    m_tierLoads.remove(tier_load_counter::stage::running, queueItem.tierRank, attempt.remainingTokens);
}

void slot_scheduler::dropExpired(instant now, schedule_actions& actions)
{
    for (const auto& queueItem : m_queue.removeExpired(now)) {
        const auto hardDeadline = m_attempts.at(queueItem.attempt).deadline;
        if (queueItem.resumes || hardDeadline <= now) {
            dropWaiting(queueItem, { .reason = error_code::timeout, .message = "request timed out before a slot became free", .retryAfter = retryAfterOverload }, actions);
            continue;
        }
        // Only an attempt that is dropped exactly at its start deadline is checked against the runs of lower tiers. Later it
        // could not have met its target, whatever ran instead.
        const bool couldHaveStarted = queueItem.startDeadline == now && !queueItem.suspect;
        const auto cause = couldHaveStarted ? shed_cause::target_unreachable : shed_cause::other;
        shed(queueItem, cause, { .reason = error_code::target_unreachable, .message = "no slot became free within the latency target of class '" + queueItem.className + "'", .retryAfter = retryAfter(predictedWait(queueItem)) }, actions);
    }
}

void slot_scheduler::recordEnd(const attempt_id& id, run_end outcome, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    if (attempt.kind == service_kind::engine)
        m_queue.charge(attempt.queueItem.tierRank, attempt.queueItem.organisation, std::max(attempt.producedTokens, 1U) - attempt.chargedTokens);
    submitLatencySample(attempt, minLatencySampleTokens, now);
    releaseSlot(attempt, now);
    if (outcome == run_end::finished) {
        m_statistics.recordFinishedRun(attempt.queueItem.className, attempt.producedTokens, attempt.earlierSlotTime + (now - attempt.startedAt));
        m_suspects.recordProperEnd(id);
    } else if (outcome == run_end::connection_broke) {
        m_suspects.recordBrokenConnection(id, now);
    } else {
        m_suspects.recordInconclusiveEnd(id);
    }
    m_invariants.recordEnd(id);
    m_attempts.erase(id);
}

void slot_scheduler::setHealthy(bool healthy, instant now, schedule_actions& actions)
{
    m_healthy = healthy;
    if (healthy) {
        m_suspects.recordHealthRecovery();
        return;
    }
    m_suspects.recordHealthLoss(now);
    applySuspects(now, actions);
    const auto message = "upstream '" + m_options.id + "' does not respond";
    for (const auto& queueItem : m_queue.removeIf([](const queued_attempt&) { return true; }, now))
        dropWaiting(queueItem, { .reason = error_code::no_upstream, .message = message, .retryAfter = retryAfterOverload }, actions);
}

void slot_scheduler::applySuspects(instant now, schedule_actions& actions)
{
    if (m_appliedSuspectsVersion == m_suspects.version())
        return;
    m_appliedSuspectsVersion = m_suspects.version();
    const auto isRefused = [this](const queued_attempt& waiting) { return m_suspects.isRefused(waiting.fingerprint); };
    for (const auto& queueItem : m_queue.removeIf(isRefused, now))
        refuseCrashingRequest(queueItem, now, actions);
    const auto isNewSuspect = [this](const queued_attempt& waiting) { return !waiting.suspect && m_suspects.isSuspect(waiting.fingerprint); };
    for (auto queueItem : m_queue.removeIf(isNewSuspect, now)) {
        queueItem.suspect = true;
        m_invariants.recordSuspect(queueItem.attempt);
        m_queue.push(std::move(queueItem), now);
    }
}

} // namespace kumquat
