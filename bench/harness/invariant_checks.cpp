#include "bench/harness/invariant_checks.h"

#include "bench/harness/answer_text.h"

namespace kumquat_bench {

using namespace kumquat;

namespace {

    // A draining sidecar may start runs for this long after the drain request.
    constexpr std::chrono::seconds leavingGrace { 3 };
    // Further violations are counted, but their details are not stored.
    constexpr std::size_t keptDetails = 50;
    // A run that has been preempted this often is not preempted again.
    constexpr std::uint32_t preemptionLimit = 2;

} // namespace

const char* toString(invariant broken)
{
    switch (broken) {
    case invariant::exactly_one_end:
        return "exactly one end for each caller";
    case invariant::own_whole_text:
        return "whole answer in order and its own";
    case invariant::truthful_not_run:
        return "told not run only when not run";
    case invariant::runs_at_most_once:
        return "not repeatable runs at most once";
    case invariant::nothing_new_while_leaving:
        return "no new work while leaving";
    case invariant::drain_cuts_nothing:
        return "graceful shutdown cuts off nothing";
    case invariant::no_inversion:
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

void invariant_checks::record(invariant broken, instant now, std::string detail)
{
    m_counts[broken]++;
    if (m_violations.size() < keptDetails)
        m_violations.push_back({ broken, now, std::move(detail) });
}

std::size_t invariant_checks::count(invariant broken) const
{
    const auto found = m_counts.find(broken);
    return found == m_counts.end() ? 0 : found->second;
}

void invariant_checks::runStarted(caller_record& caller, instant now)
{
    caller.starts++;
    if (caller.starts > 1 && !caller.requestClass->repeatable)
        record(invariant::runs_at_most_once, now, caller.body + " reached an upstream " + std::to_string(caller.starts) + " times");
    if (caller.end == caller_end::failed && caller.ran == ran_state::no)
        record(invariant::truthful_not_run, now, caller.body + " ran after its caller had been told that it had not");
}

void invariant_checks::runDecided(const std::string& sidecar, std::optional<instant> leavingSince, instant now)
{
    if (leavingSince && now > *leavingSince + leavingGrace)
        record(invariant::nothing_new_while_leaving, now, sidecar + " started new work while leaving");
}

void invariant_checks::textReceived(caller_record& caller, const std::string& text, instant now)
{
    if (caller.end == caller_end::left)
        return;
    if (caller.end != caller_end::open)
        record(invariant::exactly_one_end, now, caller.body + " received text after its end");
    if (!continuesAnswer(caller.bodyHash, caller.receivedBytes, text))
        record(invariant::own_whole_text, now, caller.body + " received wrong text at byte " + std::to_string(caller.receivedBytes));
    if (!caller.firstTokenAt)
        caller.firstTokenAt = now;
    caller.lastTokenAt = now;
    caller.receivedBytes += text.size();
}

bool invariant_checks::endOnce(caller_record& caller, caller_end end, instant now)
{
    if (caller.end == caller_end::left)
        return false;
    if (caller.end != caller_end::open) {
        record(invariant::exactly_one_end, now, caller.body + " received a second end");
        return false;
    }
    caller.end = end;
    caller.endedAt = now;
    return true;
}

void invariant_checks::answerFinished(caller_record& caller, instant now)
{
    if (!endOnce(caller, caller_end::answered, now))
        return;
    if (caller.receivedBytes != caller.answerBytes())
        record(invariant::own_whole_text, now, caller.body + " received " + std::to_string(caller.receivedBytes) + " of " + std::to_string(caller.answerBytes()) + " bytes");
}

void invariant_checks::answerFailed(caller_record& caller, const caller_error& error, instant now)
{
    if (!endOnce(caller, caller_end::failed, now))
        return;
    caller.error = error.code;
    caller.ran = error.ran;
    if (error.ran == ran_state::no && caller.starts > 0)
        record(invariant::truthful_not_run, now, caller.body + " was told that it had not run, but it had");
}

void invariant_checks::stillOpen(const caller_record& caller, instant now)
{
    record(invariant::exactly_one_end, now, caller.body + " never received an end");
}

void invariant_checks::stoppedAfterDrain(const std::string& sidecar, std::size_t running, instant now)
{
    if (running > 0)
        record(invariant::drain_cuts_nothing, now, sidecar + " stopped with " + std::to_string(running) + " requests running");
}

void invariant_checks::timerSpins(const std::string& process, instant now)
{
    record(invariant::timers_make_progress, now, process + " asks for a timer that is already due, without end");
}

void invariant_checks::shed(const sidecar_reducer& sidecar, const std::set<attempt_id>& live, const std::string& requestId, error_code reason, instant now)
{
    const auto* higher = m_findCaller(requestId);
    if (!higher)
        return;
    for (const auto& id : live) {
        const auto found = sidecar.attempts().find(id);
        const auto* lower = m_findCaller(id.requestId);
        if (found == sidecar.attempts().end())
            continue;
        const auto& other = found->second;
        if (!lower || lower->requestClass->tierRank <= higher->requestClass->tierRank)
            continue;
        // A queued attempt occupies queue capacity that the higher tier needs; a running one occupies a slot if it could
        // be preempted and resumed.
        const bool takesRoom = reason == error_code::overloaded && std::holds_alternative<attempt_queued>(other.state) && lower->starts == 0;
        const bool isCapped = lower->starts > preemptionLimit;
        const bool takesSlot = std::holds_alternative<attempt_running>(other.state) && lower->requestClass->repeatable && !lower->isPlain() && !isCapped;
        if (!takesRoom && !takesSlot)
            continue;
        record(invariant::no_inversion, now, sidecar.options().id + " refused " + higher->requestClass->name + " (" + kumquat::toString(reason) + ") while " + lower->requestClass->name + (takesRoom ? " waited" : " ran"));
        return;
    }
}

} // namespace kumquat_bench
