#include "bench/harness/invariant_checks.h"

#include "bench/harness/answer_text.h"

namespace kumquat_bench {

using namespace kumquat;

namespace {

    // A draining sidecar may start runs for this long after the drain request.
    constexpr std::chrono::seconds leavingGrace { 3 };
    // Further violations are counted, but their details are not stored.
    constexpr std::size_t maxStoredViolations = 50;
    // A run that has been preempted this often is not preempted again.
    constexpr std::uint32_t maxPreemptions = 2;

} // namespace

const char* toString(invariant violated)
{
    switch (violated) {
    case invariant::exactly_one_end:
        return "exactly one end for each caller";
    case invariant::complete_own_answer:
        return "whole answer in order and its own";
    case invariant::accurate_not_run:
        return "told not run only when not run";
    case invariant::runs_at_most_once:
        return "not repeatable runs at most once";
    case invariant::no_new_work_while_leaving:
        return "no new work while leaving";
    case invariant::drain_completes_runs:
        return "graceful shutdown cuts off nothing";
    case invariant::no_tier_inversion:
        return "no inversion of tiers";
    case invariant::timers_make_progress:
        return "a timer makes progress";
    }
    return "";
}

invariant_checks::invariant_checks(caller_lookup findCaller)
    : m_findCaller(std::move(findCaller))
{
}

void invariant_checks::record(invariant violated, instant now, std::string detail)
{
    m_counts[violated]++;
    if (m_violations.size() < maxStoredViolations)
        m_violations.push_back({ violated, now, std::move(detail) });
}

std::size_t invariant_checks::count(invariant violated) const
{
    const auto found = m_counts.find(violated);
    return found == m_counts.end() ? 0 : found->second;
}

void invariant_checks::runStarted(caller_record& caller, instant now)
{
    caller.upstreamCalls++;
    if (caller.upstreamCalls > 1 && !caller.requestClass->repeatable)
        record(invariant::runs_at_most_once, now, caller.body + " reached an upstream " + std::to_string(caller.upstreamCalls) + " times");
    if (caller.outcome == caller_outcome::failed && caller.ran == ran_state::no)
        record(invariant::accurate_not_run, now, caller.body + " ran after its caller had been told that it had not");
}

void invariant_checks::runRequested(const std::string& sidecar, std::optional<instant> leavingSince, instant now)
{
    if (leavingSince && now > *leavingSince + leavingGrace)
        record(invariant::no_new_work_while_leaving, now, sidecar + " started new work while leaving");
}

void invariant_checks::textReceived(caller_record& caller, const std::string& text, instant now)
{
    if (caller.outcome == caller_outcome::disconnected)
        return;
    if (caller.outcome != caller_outcome::open)
        record(invariant::exactly_one_end, now, caller.body + " received text after its end");
    if (!matchesAnswerAt(caller.bodyHash, caller.receivedBytes, text))
        record(invariant::complete_own_answer, now, caller.body + " received wrong text at byte " + std::to_string(caller.receivedBytes));
    if (!caller.firstTokenAt)
        caller.firstTokenAt = now;
    caller.lastTokenAt = now;
    caller.receivedBytes += text.size();
}

bool invariant_checks::recordOutcome(caller_record& caller, caller_outcome outcome, instant now)
{
    if (caller.outcome == caller_outcome::disconnected)
        return false;
    if (caller.outcome != caller_outcome::open) {
        record(invariant::exactly_one_end, now, caller.body + " received a second end");
        return false;
    }
    caller.outcome = outcome;
    caller.endedAt = now;
    return true;
}

void invariant_checks::answerFinished(caller_record& caller, instant now)
{
    if (!recordOutcome(caller, caller_outcome::answered, now))
        return;
    if (caller.receivedBytes != caller.answerBytes())
        record(invariant::complete_own_answer, now, caller.body + " received " + std::to_string(caller.receivedBytes) + " of " + std::to_string(caller.answerBytes()) + " bytes");
}

void invariant_checks::answerFailed(caller_record& caller, const caller_error& error, instant now)
{
    if (!recordOutcome(caller, caller_outcome::failed, now))
        return;
    caller.error = error.code;
    caller.ran = error.ran;
    if (error.ran == ran_state::no && caller.upstreamCalls > 0)
        record(invariant::accurate_not_run, now, caller.body + " was told that it had not run, but it had");
}

void invariant_checks::neverEnded(const caller_record& caller, instant now)
{
    record(invariant::exactly_one_end, now, caller.body + " never received an end");
}

void invariant_checks::stoppedAfterDrain(const std::string& sidecar, std::size_t running, instant now)
{
    if (running > 0)
        record(invariant::drain_completes_runs, now, sidecar + " stopped with " + std::to_string(running) + " requests running");
}

void invariant_checks::timerLoopDetected(const std::string& process, instant now)
{
    record(invariant::timers_make_progress, now, process + " asks for a timer that is already due, without end");
}

void invariant_checks::attemptShed(const sidecar_reducer& sidecar, const std::set<attempt_id>& openAttempts, const std::string& requestId, error_code reason, instant now)
{
    const auto* refusedCaller = m_findCaller(requestId);
    if (!refusedCaller)
        return;
    for (const auto& id : openAttempts) {
        const auto found = sidecar.attempts().find(id);
        const auto* otherCaller = m_findCaller(id.requestId);
        if (found == sidecar.attempts().end())
            continue;
        const auto& otherAttempt = found->second;
        if (!otherCaller || otherCaller->requestClass->tierRank <= refusedCaller->requestClass->tierRank)
            continue;
        // A queued attempt that never ran occupies queue capacity that the higher tier needs. A running attempt occupies a
        // slot that it could yield if it can be preempted and resumed.
        const bool takesQueueCapacity = reason == error_code::overloaded && std::holds_alternative<attempt_queued>(otherAttempt.state) && otherCaller->upstreamCalls == 0;
        const bool hasMaxPreemptions = otherCaller->upstreamCalls > maxPreemptions;
        const bool takesSlot = std::holds_alternative<attempt_running>(otherAttempt.state) && otherCaller->requestClass->repeatable && !otherCaller->isPlain() && !hasMaxPreemptions;
        if (!takesQueueCapacity && !takesSlot)
            continue;
        record(invariant::no_tier_inversion, now, sidecar.options().id + " refused " + refusedCaller->requestClass->name + " (" + kumquat::toString(reason) + ") while " + otherCaller->requestClass->name + (takesQueueCapacity ? " waited" : " ran"));
        return;
    }
}

} // namespace kumquat_bench
