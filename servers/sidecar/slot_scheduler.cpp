#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using shed_cause = scheduling_invariants::shed_cause;
    using std::chrono::milliseconds;

    constexpr milliseconds shortestRetryAfter { 100 };
    constexpr milliseconds retryAfterOverload { 1000 };
    constexpr milliseconds longestRetryAfter { 60000 };
    // A lower stream is preempted this part of the first-token target before the latest start, since the first token of
    // some runs takes longer than the mean.
    constexpr int urgencyDivisor = 4;
    // A prediction is a mean; what it says is out of reach only when it says so clearly.
    constexpr double unreachableFactor = 1.5;
    // An estimate never leaves less than this part of a target for waiting, so that one learned under stress cannot make
    // every later request seem out of reach.
    constexpr int estimateDivisor = 2;
    constexpr std::uint32_t smallestExtraCharge = 32;
    constexpr std::uint32_t extraChargeDivisor = 4;

} // namespace

slot_scheduler::slot_scheduler(const sidecar_options& options)
    : m_options(options)
    , m_queue(m_options.policy, m_terms, m_options.starvationLimit)
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

slot_scheduler::scheduled_attempt slot_scheduler::describe(const offer& request, instant now) const
{
    const auto* terms = m_terms.find(request.className);
    scheduled_attempt attempt;
    attempt.kind = request.job.kind;
    attempt.repeatable = request.repeatable && (!terms || terms->repeatable);
    // A caller's own limit lies below the first guess of the class and binds whatever has been learned.
    const bool isLimited = terms && request.expectedTokens < terms->expectedTokens;
    const auto learned = m_estimator.expectedTokens(request.className).value_or(request.expectedTokens);
    attempt.expectedTokens = isLimited ? std::min(learned, request.expectedTokens) : learned;
    attempt.remainingTokens = attempt.expectedTokens;
    auto& facts = attempt.facts;
    facts.attempt = request.attempt;
    facts.tierRank = terms ? terms->tierRank : request.tierRank;
    facts.className = request.className;
    facts.organisation = request.organisation;
    facts.fingerprint = request.fingerprint;
    facts.charge = std::max(attempt.expectedTokens, 1U);
    facts.expectedRun = m_estimator.expectedRun(request.className, attempt.expectedTokens);
    facts.suspect = request.suspect || m_suspects.isSuspect(request.fingerprint);
    facts.arrived = now;
    attempt.deadline = now + request.timeLeft;
    facts.deadline = attempt.deadline;
    if (terms && isFair())
        setTargets(attempt, *terms, now - request.waited);
    return attempt;
}

void slot_scheduler::setTargets(scheduled_attempt& attempt, const request_class& terms, instant arrived) const
{
    auto& facts = attempt.facts;
    attempt.betweenTokens = terms.targets.betweenTokens;
    attempt.lateIsUseless = terms.lateIsUseless;
    if (const auto target = terms.targets.total)
        facts.startBy = arrived + std::max<duration>(*target - facts.expectedRun, *target / estimateDivisor);
    if (const auto target = terms.targets.firstToken) {
        const auto startBy = arrived + std::max<duration>(*target - m_estimator.firstToken(), *target / estimateDivisor);
        facts.startBy = std::min(facts.startBy, startBy);
        facts.urgentAt = facts.startBy - *target / urgencyDivisor;
    }
    if (attempt.lateIsUseless)
        facts.deadline = std::min(facts.deadline, facts.startBy);
}

void slot_scheduler::submit(const offer& request, instant now, schedule_actions& actions)
{
    const auto described = describe(request, now);
    const auto facts = described.facts;
    if (m_suspects.isRefused(facts.fingerprint)) {
        refuseSuspected(facts, now, actions);
        return;
    }
    const auto predicted = predictedWait(facts);
    if (!makeRoomFor(facts, now, actions)) {
        shed(facts, shed_cause::queue_full, { .reason = error_code::overloaded, .message = "queue of upstream '" + m_options.id + "' is full", .retryAfter = retryAfter(predicted) }, actions);
        return;
    }
    m_attempts.insert_or_assign(facts.attempt, described);
    m_load.add(load_tally::stage::queued, facts.tierRank, described.remainingTokens);
    m_invariants.queued(facts.attempt, facts.tierRank, facts.suspect);
    m_queue.push(facts, now);
    fill(now, actions);
    avoidMiss(facts.attempt, predicted, now, actions);
}

// Acts on the prediction that a new arrival would miss its target: a lower stream makes room, or the arrival is refused
// at once when a late answer is useless to it.
void slot_scheduler::avoidMiss(const attempt_id& id, duration predicted, instant now, schedule_actions& actions)
{
    const auto* waiting = m_queue.find(id);
    if (!waiting || now + predicted <= waiting->startBy)
        return;
    if (waiting->urgentAt != instant::max())
        preemptFor(queued_attempt(*waiting), now, actions);
    waiting = m_queue.find(id);
    if (!waiting || !m_attempts.at(id).lateIsUseless)
        return;
    const duration allowed = std::max(duration { 0 }, waiting->startBy - now);
    if (std::chrono::duration<double>(predicted) <= unreachableFactor * std::chrono::duration<double>(allowed))
        return;
    const auto facts = *m_queue.remove(id, now);
    shed(facts, shed_cause::target_unreachable, { .reason = error_code::target_unreachable, .message = "upstream '" + m_options.id + "' cannot meet the target of class '" + facts.className + "' now", .retryAfter = retryAfter(predicted - allowed) }, actions);
}

bool slot_scheduler::makeRoomFor(const queued_attempt& arrival, instant now, schedule_actions& actions)
{
    if (m_queue.unstartedCount() < m_options.queueLimit)
        return true;
    if (const auto displaced = m_queue.displaceFor(arrival, now)) {
        const auto message = displaced->tierRank > arrival.tierRank ? "displaced by a request of a higher tier" : "displaced by a request of an organisation that has less waiting";
        shed(*displaced, shed_cause::queue_full, { .reason = error_code::overloaded, .message = message, .retryAfter = retryAfter(predictedWait(*displaced)) }, actions);
        return true;
    }
    const auto victim = m_candidates.below(arrival.tierRank);
    if (!victim || m_queue.size() == 0)
        return false;
    interrupt(*victim, arrival.tierRank, now, actions);
    fillOne(slot_cause::preempted, now, actions);
    return m_queue.unstartedCount() < m_options.queueLimit;
}

void slot_scheduler::shed(const queued_attempt& facts, shed_cause cause, give_up_attempt action, schedule_actions& actions)
{
    forget(facts.attempt);
    m_invariants.shed(facts.attempt, facts.tierRank, cause);
    action.attempt = facts.attempt;
    actions.push_back(std::move(action));
}

void slot_scheduler::refuseSuspected(const queued_attempt& facts, instant now, schedule_actions& actions)
{
    const auto wait = std::chrono::ceil<milliseconds>(m_suspects.refusedFor(facts.fingerprint, now));
    giveUp(facts, { .reason = error_code::request_suspected, .message = "the same request has crashed upstreams", .retryAfter = wait }, actions);
}

// Gives up a waiting attempt for a reason other than load. What has run before has failed; the rest is refused.
void slot_scheduler::giveUp(const queued_attempt& facts, give_up_attempt action, schedule_actions& actions)
{
    forget(facts.attempt);
    if (facts.resumes)
        m_invariants.ended(facts.attempt);
    else
        m_invariants.shed(facts.attempt, facts.tierRank, shed_cause::other);
    action.attempt = facts.attempt;
    action.resumes = facts.resumes;
    actions.push_back(std::move(action));
}

void slot_scheduler::forget(const attempt_id& id)
{
    const auto known = m_attempts.find(id);
    if (known == m_attempts.end())
        return;
    m_load.remove(load_tally::stage::queued, known->second.facts.tierRank, known->second.remainingTokens);
    m_attempts.erase(known);
}

void slot_scheduler::withdraw(const attempt_id& id, instant now)
{
    m_queue.remove(id, now);
    forget(id);
    m_invariants.ended(id);
}

void slot_scheduler::refuseWaiting(error_code reason, const std::string& message, instant now, schedule_actions& actions)
{
    for (const auto& facts : m_queue.removeIf([](const queued_attempt& waiting) { return !waiting.resumes; }, now))
        giveUp(facts, { .reason = reason, .message = message }, actions);
}

void slot_scheduler::fill(instant now, schedule_actions& actions)
{
    m_suspects.expire(now);
    applySuspicions(now, actions);
    preemptForUrgent(now, actions);
    giveUpExpired(now, actions);
    while (m_healthy && runningCount() < usableSlots()) {
        if (!fillOne(slot_cause::freed, now, actions))
            break;
    }
    preemptForUrgent(now, actions);
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
    attempt.charged += attempt.facts.charge;
    m_running.insert(id);
    m_runningRun += attempt.facts.expectedRun;
    m_load.remove(load_tally::stage::queued, attempt.facts.tierRank, attempt.remainingTokens);
    m_load.add(load_tally::stage::running, attempt.facts.tierRank, attempt.remainingTokens);
    m_suspects.started(id, attempt.facts.fingerprint, attempt.facts.suspect);
    const bool preemptible = mayPreempt(attempt);
    if (preemptible)
        m_candidates.add({ id, attempt.facts.tierRank, attempt.preemptions, now });
    const auto cause = popped.guaranteed ? scheduling_invariants::start_cause::guaranteed_share : scheduling_invariants::start_cause::in_order;
    m_invariants.started(id, attempt.facts.tierRank, cause, preemptible, attempt.facts.resumes);
    actions.push_back(begin_attempt { id, attempt.facts.resumes });
}

bool slot_scheduler::mayPreempt(const scheduled_attempt& attempt) const
{
    // What runs by the guaranteed share of its class would be preempted as soon as it runs.
    if (!isFair() || attempt.guaranteed || attempt.facts.suspect)
        return false;
    const bool canResume = m_options.kind == service_kind::engine && attempt.kind == service_kind::engine;
    return canResume && attempt.repeatable && attempt.preemptions < m_options.preemptionLimit;
}

void slot_scheduler::preemptForUrgent(instant now, schedule_actions& actions)
{
    if (!m_healthy || runningCount() < usableSlots())
        return;
    while (const auto id = m_queue.popUrgent(now))
        preemptFor(queued_attempt(*m_queue.find(*id)), now, actions);
}

void slot_scheduler::preemptFor(const queued_attempt& urgent, instant now, schedule_actions& actions)
{
    while (m_healthy && m_queue.find(urgent.attempt)) {
        const auto victim = m_candidates.below(urgent.tierRank);
        const bool mustWait = urgent.suspect && m_suspects.suspectRuns();
        if (!victim || mustWait)
            return;
        interrupt(*victim, urgent.tierRank, now, actions);
        // A slot that was freed for one attempt goes to it, unless a higher tier waits as well.
        if (m_queue.hasAbove(urgent.tierRank)) {
            fillOne(slot_cause::preempted, now, actions);
            continue;
        }
        begin({ *m_queue.popOne(urgent.attempt, now), false }, now, actions);
    }
}

void slot_scheduler::interrupt(const preemption_candidates::candidate& victim, std::uint32_t beneficiaryRank, instant now, schedule_actions& actions)
{
    auto& attempt = m_attempts.at(victim.attempt);
    auto& facts = attempt.facts;
    leaveSlot(attempt);
    m_suspects.ended(victim.attempt);
    m_load.add(load_tally::stage::queued, facts.tierRank, attempt.remainingTokens);
    m_invariants.preempted(victim.attempt, beneficiaryRank);
    attempt.preemptions++;
    attempt.ranBefore += now - attempt.startedAt;
    facts.resumes = true;
    facts.charge = 0;
    facts.startBy = instant::min();
    facts.urgentAt = instant::max();
    facts.deadline = attempt.deadline;
    m_queue.push(facts, now);
    actions.push_back(interrupt_attempt { victim.attempt });
}

void slot_scheduler::leaveSlot(const scheduled_attempt& attempt)
{
    const auto& facts = attempt.facts;
    m_running.erase(facts.attempt);
    m_runningRun -= facts.expectedRun;
    m_candidates.remove(facts.attempt);
    m_queue.ended(facts.tierRank, facts.organisation);
    m_load.remove(load_tally::stage::running, facts.tierRank, attempt.remainingTokens);
}

void slot_scheduler::giveUpExpired(instant now, schedule_actions& actions)
{
    for (const auto& facts : m_queue.removeExpired(now)) {
        const auto hardDeadline = m_attempts.at(facts.attempt).deadline;
        if (facts.resumes || hardDeadline <= now) {
            giveUp(facts, { .reason = error_code::timeout, .message = "no slot became free in time", .retryAfter = retryAfterOverload }, actions);
            continue;
        }
        // After its time an attempt could have gone nowhere, so that nobody stands in its way any more.
        const auto cause = facts.startBy == now ? shed_cause::target_unreachable : shed_cause::other;
        shed(facts, cause, { .reason = error_code::target_unreachable, .message = "no slot became free within the target of class '" + facts.className + "'", .retryAfter = retryAfter(predictedWait(facts)) }, actions);
    }
}

void slot_scheduler::produced(const attempt_id& id, std::uint32_t tokens, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    const auto counted = std::min(tokens, attempt.remainingTokens);
    attempt.remainingTokens -= counted;
    m_load.produced(attempt.facts.tierRank, counted);
    observePace(attempt, tokens, now);
    attempt.producedTokens += tokens;
    attempt.lastOutputAt = now;
    if (attempt.kind != service_kind::engine || attempt.producedTokens <= attempt.charged)
        return;
    // The length was underestimated; the organisation pays as the output grows.
    const double extra = std::max(smallestExtraCharge, attempt.producedTokens / extraChargeDivisor);
    attempt.charged += extra;
    m_queue.charge(attempt.facts.tierRank, attempt.facts.organisation, extra);
}

void slot_scheduler::observePace(const scheduled_attempt& attempt, std::uint32_t tokens, instant now)
{
    if (!attempt.lastOutputAt) {
        if (!attempt.facts.resumes)
            m_estimator.sawFirstOutput(now - attempt.startedAt);
        return;
    }
    if (attempt.betweenTokens && tokens > 0)
        m_limit.observe((now - *attempt.lastOutputAt) / tokens, *attempt.betweenTokens, runningCount(), now);
}

void slot_scheduler::ended(const attempt_id& id, run_end how, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    if (attempt.kind == service_kind::engine)
        m_queue.charge(attempt.facts.tierRank, attempt.facts.organisation, std::max(attempt.producedTokens, 1U) - attempt.charged);
    leaveSlot(attempt);
    if (how == run_end::finished) {
        m_estimator.sawFinish(attempt.facts.className, attempt.producedTokens, attempt.ranBefore + (now - attempt.startedAt));
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
        giveUp(facts, { .reason = error_code::no_upstream, .message = message, .retryAfter = retryAfterOverload }, actions);
}

void slot_scheduler::applySuspicions(instant now, schedule_actions& actions)
{
    if (m_appliedSuspicions == m_suspects.version())
        return;
    m_appliedSuspicions = m_suspects.version();
    const auto isRefused = [this](const queued_attempt& waiting) { return m_suspects.isRefused(waiting.fingerprint); };
    for (const auto& facts : m_queue.removeIf(isRefused, now))
        refuseSuspected(facts, now, actions);
    const auto isNewSuspect = [this](const queued_attempt& waiting) { return !waiting.suspect && m_suspects.isSuspect(waiting.fingerprint); };
    for (auto facts : m_queue.removeIf(isNewSuspect, now)) {
        facts.suspect = true;
        m_invariants.suspected(facts.attempt);
        m_queue.push(std::move(facts), now);
    }
}

duration slot_scheduler::predictedWait(const queued_attempt& arrival) const
{
    const auto running = static_cast<duration::rep>(runningCount());
    if (running == 0 || runningCount() < usableSlots())
        return duration { 0 };
    const auto nextRelease = m_runningRun / (running * running);
    return nextRelease + m_queue.runAhead(arrival) / running;
}

milliseconds slot_scheduler::retryAfter(duration wait) const
{
    return std::clamp(std::chrono::ceil<milliseconds>(wait), shortestRetryAfter, longestRetryAfter);
}

} // namespace kumquat
