#include "servers/router/router_reducer.h"

#include <algorithm>

// How a router that is asked to stop ends without losing a request. shutdown_plan has the times.

namespace kumquat::router {

namespace {

    constexpr auto closeIdleInterval = std::chrono::milliseconds(100);
    // The caller's next connection reaches another router, so it may retry almost at once.
    constexpr auto retryAtOtherRouter = std::chrono::milliseconds(20);

} // namespace

std::optional<caller_error> router_reducer::refuseBeforeShutdown(const request_progress& progress) const
{
    if (!m_shutdown)
        return std::nullopt;
    // Without another router, a request that may be cut is better off than one that is refused.
    const auto usualTime = m_peers.count() > 0 ? m_completionTimes.usualTime(progress.matchedRoute->name) : std::nullopt;
    if (m_shutdown->accepts(m_now, progress.deadline, m_now + usualTime.value_or(duration {})))
        return std::nullopt;
    return caller_error { error_code::draining, "this router stops before the request would be answered", ran_state::no, retryAtOtherRouter };
}

void router_reducer::on(termination_requested&&)
{
    if (m_shutdown)
        return;
    m_shutdown = shutdown_plan(m_now, m_options.settings.shutdownGrace);
    log(log_level::info, "router_terminating", { { "requests", std::to_string(m_requests.size()) }, { "grace_ms", formatMilliseconds(m_options.settings.shutdownGrace) } });
    emit(close_callers_after_answers {});
    exchangeDigests();
    setTimer(timer_kind::close_idle, 0, m_shutdown->listenerClosesAt());
    setTimer(timer_kind::last_answers, 0, m_shutdown->lastAnswersAt());
}

void router_reducer::closeIdle()
{
    emit(close_idle_callers {});
    if (m_now >= m_shutdown->lastAnswersAt())
        emit(refuse_unread_requests {});
    if (m_requests.empty())
        emit(stop_router { .unlessConnectionsAreOpen = true });
    setTimer(timer_kind::close_idle, 0, m_now + closeIdleInterval);
}

void router_reducer::giveLastAnswers()
{
    if (!m_requests.empty())
        log(log_level::warning, "router_stopped_with_requests", { { "requests", std::to_string(m_requests.size()) } });
    std::vector<caller_id> unanswered;
    for (const auto& [caller, progress] : m_requests) {
        if (!progress.replyStarted)
            unanswered.push_back(caller);
    }
    for (const auto caller : unanswered)
        giveLastAnswer(m_requests.at(caller));
    emit(refuse_unread_requests {});
    setTimer(timer_kind::break_streams, 0, m_shutdown->streamsBreakAt(m_now));
}

void router_reducer::breakStreams()
{
    while (!m_requests.empty()) {
        auto& progress = m_requests.begin()->second;
        if (!progress.replyStarted) {
            giveLastAnswer(progress);
            continue;
        }
        logCut(progress);
        cancelAttempts(progress);
        emit(abort_reply { progress.caller });
        finish(progress, 0, "stream_stopped");
    }
    setTimer(timer_kind::stop, 0, m_shutdown->endsAt(m_now));
}

void router_reducer::giveLastAnswer(request_progress& progress)
{
    logCut(progress);
    endUnanswered(progress, { error_code::draining, "this router stops", ran_state::no, retryAtOtherRouter }, "stopped");
}

void router_reducer::logCut(const request_progress& progress)
{
    const bool isWaiting = std::any_of(progress.attempts.begin(), progress.attempts.end(), [](const active_attempt& attempt) { return !attempt.answer; });
    const char* state = progress.replyStarted ? "streaming" : progress.attempts.empty() ? "not_sent"
        : isWaiting                                                                     ? "waiting"
                                                                                        : "answered_in_part";
    log(log_level::warning, "request_cut", { { "request", progress.request->requestId }, { "state", state }, { "upstream", progress.attempts.empty() ? "none" : progress.attempts.back().upstream->record.id }, { "sends", std::to_string(progress.attemptCount) }, { "may_have_run", progress.mayHaveRun() ? "yes" : "no" }, { "ms", formatMilliseconds(m_now - progress.arrivedAt) }, { "left_ms", formatMilliseconds(progress.deadline - m_now) } });
}

} // namespace kumquat::router
