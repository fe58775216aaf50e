#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using shed_cause = scheduling_invariants::shed_cause;
    using std::chrono::milliseconds;
    // An attempt becomes urgent this fraction of its first-token target before its start deadline, because the first token of
    // some runs takes longer than estimated.
    constexpr int urgencyTargetDivisor = 4;
    // The predicted wait is a mean. A target counts as unreachable only if the prediction exceeds the allowed wait by this
    // factor.
    constexpr double unreachableFactor = 1.5;
    // At least this fraction of a target remains for waiting, whatever the estimated run time. Otherwise an estimate learned
    // under overload could make the target of every later request appear unreachable.
    constexpr int minWaitTargetDivisor = 2;

} // namespace

slot_scheduler::scheduled_attempt slot_scheduler::makeScheduledAttempt(const offer& request, instant now) const
{
    const auto* requestClass = m_classLookup.find(request.className);
    scheduled_attempt attempt;
    attempt.kind = request.job.kind;
    attempt.repeatable = request.repeatable && (!requestClass || requestClass->repeatable);
    // An offer that expects fewer tokens than the class's default comes from a caller with its own output limit, which caps
    // the learned estimate.
    const bool isLimited = requestClass && request.expectedTokens < requestClass->expectedTokens;
    const auto learnedTokens = m_statistics.expectedTokens(request.className).value_or(request.expectedTokens);
    attempt.expectedTokens = isLimited ? std::min(learnedTokens, request.expectedTokens) : learnedTokens;
    attempt.remainingTokens = attempt.expectedTokens;
    auto& queueItem = attempt.queueItem;
    queueItem.attempt = request.attempt;
    queueItem.tierRank = requestClass ? requestClass->tierRank : request.tierRank;
    queueItem.className = request.className;
    queueItem.organisation = request.organisation;
    queueItem.fingerprint = request.fingerprint;
    queueItem.charge = std::max(attempt.expectedTokens, 1U);
    queueItem.cost = queueItem.charge;
    queueItem.expectedSlotTime = m_statistics.expectedSlotTime(request.className, attempt.expectedTokens);
    queueItem.suspect = request.suspect || m_suspects.isSuspect(request.fingerprint);
    queueItem.arrived = now;
    attempt.deadline = now + request.timeLeft;
    queueItem.deadline = attempt.deadline;
    if (requestClass && isFair())
        setTargets(attempt, *requestClass, now - request.waited);
    return attempt;
}

void slot_scheduler::setTargets(scheduled_attempt& attempt, const request_class& requestClass, instant arrived) const
{
    auto& queueItem = attempt.queueItem;
    attempt.betweenTokens = requestClass.targets.betweenTokens;
    attempt.lateIsUseless = requestClass.lateIsUseless;
    if (const auto target = requestClass.targets.total)
        queueItem.startDeadline = arrived + std::max<duration>(*target - queueItem.expectedSlotTime, *target / minWaitTargetDivisor);
    if (const auto target = requestClass.targets.firstToken) {
        const auto startDeadline = arrived + std::max<duration>(*target - m_statistics.firstTokenPercentile95(queueItem.className), *target / minWaitTargetDivisor);
        queueItem.startDeadline = std::min(queueItem.startDeadline, startDeadline);
        queueItem.urgentAt = queueItem.startDeadline - *target / urgencyTargetDivisor;
    }
    if (attempt.lateIsUseless)
        queueItem.deadline = std::min(queueItem.deadline, queueItem.startDeadline);
}

void slot_scheduler::submit(const offer& request, instant now, schedule_actions& actions)
{
    const auto scheduled = makeScheduledAttempt(request, now);
    const auto queueItem = scheduled.queueItem;
    if (m_suspects.isRefused(queueItem.fingerprint)) {
        refuseCrashingRequest(queueItem, now, actions);
        return;
    }
    const auto predicted = predictedWait(queueItem);
    if (!ensureQueueCapacityFor(queueItem, now, actions)) {
        shed(queueItem, shed_cause::queue_full, { .reason = error_code::overloaded, .message = "queue of upstream '" + m_options.id + "' is full", .retryAfter = retryAfter(predicted) }, actions);
        return;
    }
    m_attempts.insert_or_assign(queueItem.attempt, scheduled);
    m_tierLoads.add(tier_load_counter::stage::queued, queueItem.tierRank, scheduled.remainingTokens);
    m_invariants.recordQueued(queueItem.attempt, queueItem.tierRank, queueItem.suspect);
    m_queue.push(queueItem, now);
    fillSlots(now, actions);
    handlePredictedMiss(queueItem.attempt, predicted, now, actions);
}

// If a new arrival is predicted to miss its target, preempts an attempt of a lower tier for it, or refuses it at once if a
// late answer is useless to its class.
void slot_scheduler::handlePredictedMiss(const attempt_id& id, duration predicted, instant now, schedule_actions& actions)
{
    const auto* waiting = m_queue.find(id);
    if (!waiting || now + predicted <= waiting->startDeadline)
        return;
    if (waiting->urgentAt != instant::max())
        startUrgent(queued_attempt(*waiting), now, actions);
    waiting = m_queue.find(id);
    if (!waiting || !m_attempts.at(id).lateIsUseless)
        return;
    const duration allowedWait = std::max(duration { 0 }, waiting->startDeadline - now);
    if (std::chrono::duration<double>(predicted) <= unreachableFactor * std::chrono::duration<double>(allowedWait))
        return;
    const auto queueItem = *m_queue.remove(id, now);
    // A suspect may have to wait for another suspect regardless of what else runs, so the invariant checks do not apply.
    const auto cause = queueItem.suspect ? shed_cause::other : shed_cause::target_unreachable;
    shed(queueItem, cause, { .reason = error_code::target_unreachable, .message = "upstream '" + m_options.id + "' cannot currently meet the latency target of class '" + queueItem.className + "'", .retryAfter = retryAfter(predicted - allowedWait) }, actions);
}

bool slot_scheduler::ensureQueueCapacityFor(const queued_attempt& arrival, instant now, schedule_actions& actions)
{
    if (m_queue.unstartedCount() < m_options.queueLimit)
        return true;
    if (const auto displaced = m_queue.displaceFor(arrival, now)) {
        const auto message = displaced->tierRank > arrival.tierRank ? "displaced by a request of a higher tier" : "displaced by a request of an organisation with fewer waiting requests";
        shed(*displaced, shed_cause::queue_full, { .reason = error_code::overloaded, .message = message, .retryAfter = retryAfter(predictedWait(*displaced)) }, actions);
        return true;
    }
    if (!m_healthy || m_queue.size() == 0 || !openSlotFor(arrival, now, actions))
        return false;
    startNext(slot_cause::preempted, now, actions);
    return m_queue.unstartedCount() < m_options.queueLimit;
}

void slot_scheduler::shed(const queued_attempt& queueItem, shed_cause cause, drop_attempt action, schedule_actions& actions)
{
    removeWaiting(queueItem.attempt);
    m_invariants.recordShed(queueItem.attempt, queueItem.tierRank, cause);
    action.attempt = queueItem.attempt;
    actions.push_back(std::move(action));
}

void slot_scheduler::refuseCrashingRequest(const queued_attempt& queueItem, instant now, schedule_actions& actions)
{
    const auto wait = std::chrono::ceil<milliseconds>(m_suspects.remainingRefusalTime(queueItem.fingerprint, now));
    dropWaiting(queueItem, { .reason = error_code::request_suspected, .message = "an identical request has crashed upstreams", .retryAfter = wait }, actions);
}

// Drops a waiting attempt for a reason other than load. An attempt that has run before fails; any other is refused.
void slot_scheduler::dropWaiting(const queued_attempt& queueItem, drop_attempt action, schedule_actions& actions)
{
    removeWaiting(queueItem.attempt);
    if (queueItem.resumes)
        m_invariants.recordEnd(queueItem.attempt);
    else
        m_invariants.recordShed(queueItem.attempt, queueItem.tierRank, shed_cause::other);
    action.attempt = queueItem.attempt;
    action.resumes = queueItem.resumes;
    actions.push_back(std::move(action));
}

void slot_scheduler::removeWaiting(const attempt_id& id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    m_tierLoads.remove(tier_load_counter::stage::queued, found->second.queueItem.tierRank, found->second.remainingTokens);
    m_attempts.erase(found);
}

void slot_scheduler::withdraw(const attempt_id& id, instant now)
{
    m_queue.remove(id, now);
    removeWaiting(id);
    m_invariants.recordEnd(id);
}

void slot_scheduler::refuseUnstarted(error_code reason, const std::string& message, instant now, schedule_actions& actions)
{
    for (const auto& queueItem : m_queue.removeIf([](const queued_attempt& waiting) { return !waiting.resumes; }, now))
        dropWaiting(queueItem, { .reason = reason, .message = message }, actions);
}

} // namespace kumquat
