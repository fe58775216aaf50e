#include "servers/router/answer_status.h"
#include "servers/router/router_reducer.h"

#include <algorithm>

// How requests end: without an answer of an upstream, at their deadline, and what is recorded of each.

namespace kumquat::router {

namespace {

    constexpr auto retryAfterFailure = std::chrono::milliseconds(200);
    // Other routers may have room, and this one has it again once the requests that hold most have ended.
    constexpr auto retryAfterEviction = std::chrono::milliseconds(200);

} // namespace

void router_reducer::answerWithFailure(request_progress& progress)
{
    if (progress.replyStarted) {
        emit(abort_reply { progress.caller });
        return finish(progress, 0, "stream_broken");
    }
    if (progress.failedAnswer && !impliesNotRun(progress.failedAnswer->head.status)) {
        auto head = std::move(progress.failedAnswer->head);
        const auto status = head.status;
        head.contentLength = progress.failedBody.size();
        emit(send_reply { progress.caller, std::move(head), std::move(progress.failedBody) });
        return finish(progress, status, "upstream_failed");
    }
    const bool mayHaveRun = progress.mayHaveRunCount > 0;
    const auto suspectRefusal = mayHaveRun ? std::nullopt : refuseSuspect(progress);
    const caller_error refusal = mayHaveRun ? caller_error { error_code::upstream_failed, "the upstream gave no whole answer", ran_state::unknown, std::nullopt }
        : suspectRefusal                    ? *suspectRefusal
                                            : describeUnavailability(progress);
    refuse(progress.caller, progress.request->requestId, refusal);
    finish(progress, httpStatus(refusal.code), "failed");
}

void router_reducer::endUnanswered(request_progress& progress, const caller_error& ifNotRun, const char* outcome)
{
    auto refusal = ifNotRun;
    if (progress.mayHaveRun())
        refusal = { error_code::timeout, ifNotRun.message + ", and no complete answer has arrived", ran_state::unknown, std::nullopt };
    cancelAttempts(progress);
    refuse(progress.caller, progress.request->requestId, refusal);
    finish(progress, httpStatus(refusal.code), outcome);
}

void router_reducer::on(caller_evicted&& evicted)
{
    const caller_error ifNotRun { error_code::overloaded, "this router is at a bound of its memory", ran_state::no, retryAfterEviction };
    const auto pending = std::find_if(m_pendingRequests.begin(), m_pendingRequests.end(), [&evicted](const request_progress& item) { return item.caller == evicted.caller; });
    if (pending != m_pendingRequests.end()) {
        const auto requestId = pending->request->requestId;
        m_pendingRequests.erase(pending);
        return refuse(evicted.caller, requestId, ifNotRun);
    }
    const auto found = m_requests.find(evicted.caller);
    if (found == m_requests.end() || found->second.replyStarted)
        return;
    log(log_level::warning, "request_evicted", { { "request", found->second.request->requestId }, { "may_have_run", found->second.mayHaveRun() ? "yes" : "no" }, { "ms", formatMilliseconds(m_now - found->second.arrivedAt) } });
    endUnanswered(found->second, ifNotRun, "evicted");
}

void router_reducer::timeOut(request_progress& progress)
{
    const bool mayHaveRun = progress.mayHaveRun();
    m_completionTimes.record(progress.matchedRoute->name, m_now - progress.arrivedAt);
    cancelAttempts(progress);
    if (progress.replyStarted) {
        emit(abort_reply { progress.caller });
        return finish(progress, 0, "stream_out_of_time");
    }
    const caller_error refusal = mayHaveRun
        ? caller_error { error_code::timeout, "no complete answer arrived before the deadline", ran_state::unknown, std::nullopt }
        : caller_error { error_code::overloaded, "no upstream accepted the request before the deadline", ran_state::no, retryAfterFailure };
    refuse(progress.caller, progress.request->requestId, refusal);
    finish(progress, httpStatus(refusal.code), "out_of_time");
}

void router_reducer::finish(request_progress& progress, int status, const char* outcome)
{
    const auto caller = progress.caller;
    const auto elapsedSeconds = std::chrono::duration<double>(m_now - progress.arrivedAt).count();
    log(log_level::info, "request_finished",
        { { "request", progress.request->requestId }, { "outcome", outcome }, { "status", std::to_string(status) }, { "sends", std::to_string(progress.attemptCount) },
            { "ms", formatMilliseconds(m_now - progress.arrivedAt) }, { "first_ms", progress.firstEventAt ? formatMilliseconds(*progress.firstEventAt - progress.arrivedAt) : "none" },
            { "longest_pause_ms", formatMilliseconds(progress.longestEventGap) } });
    emit(count_metric { "kumquat_router_requests_total", { { "route", progress.matchedRoute->name }, { "outcome", outcome } } });
    emit(observe_metric { "kumquat_router_request_seconds", { { "route", progress.matchedRoute->name } }, elapsedSeconds });
    if (progress.targetsEngine)
        recordGaps(progress);
    m_timers.cancel({ timer_kind::deadline, caller });
    m_timers.cancel({ timer_kind::hedge, caller });
    m_timers.cancel({ timer_kind::resumption, caller });
    if (progress.lookup)
        forgetQueries(progress);
    m_requests.erase(caller);
}

void router_reducer::recordGaps(const request_progress& progress)
{
    m_gapProtection.recordEnd(progress.service, progress.isGapSensitive);
    if (progress.isGapSensitive && progress.firstEventAt)
        m_gapProtection.recordStream(progress.service, progress.longestEventGap, m_now);
}

} // namespace kumquat::router
