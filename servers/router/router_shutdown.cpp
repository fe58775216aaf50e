#include "servers/router/router_reducer.h"

#include <algorithm>

// How a router that is asked to stop ends without cutting off a request.

namespace kumquat::router {

namespace {

    // The platform takes this long to stop directing new callers to a router that reports that it is not ready.
    constexpr auto deregistrationDelay = std::chrono::milliseconds(3500);
    // Once it has been terminating for this long, a router accepts only requests whose deadline is before its own end.
    constexpr auto maxAcceptanceTime = std::chrono::milliseconds(2500);
    // Upper bounds on the two times above as shares of the shutdown grace, for platforms that allow little time to stop.
    constexpr double acceptanceShare = 0.3;
    constexpr double deregistrationShare = 0.5;
    // A router stops this long before the platform would kill it.
    constexpr auto shutdownMargin = std::chrono::milliseconds(300);
    constexpr auto closeIdleInterval = std::chrono::milliseconds(100);

    // The maximum, or the given share of the shutdown grace if that is shorter.
    duration limitByGrace(duration maximum, duration grace, double share)
    {
        return std::min(maximum, std::chrono::duration_cast<duration>(grace * share));
    }

} // namespace

bool router_reducer::deadlineExceedsShutdown(const request_progress& progress) const
{
    const auto grace = m_options.settings.shutdownGrace;
    return m_terminating && m_now - m_terminatingSince > limitByGrace(maxAcceptanceTime, grace, acceptanceShare) && progress.deadline > m_terminatingSince + grace - shutdownMargin;
}

void router_reducer::on(termination_requested&&)
{
    if (m_terminating)
        return;
    m_terminating = true;
    m_terminatingSince = m_now;
    log(log_level::info, "router_terminating", { { "requests", std::to_string(m_requests.size()) }, { "grace_ms", formatMilliseconds(m_options.settings.shutdownGrace) } });
    emit(close_callers_after_answers {});
    exchangeDigests();
    setTimer(timer_kind::close_idle, 0, m_now + limitByGrace(deregistrationDelay, m_options.settings.shutdownGrace, deregistrationShare));
    setTimer(timer_kind::stop, 0, m_now + m_options.settings.shutdownGrace - shutdownMargin);
}

void router_reducer::closeIdle()
{
    emit(close_idle_callers {});
    if (m_requests.empty())
        emit(stop_router { .unlessConnectionsAreOpen = true });
    setTimer(timer_kind::close_idle, 0, m_now + closeIdleInterval);
}

void router_reducer::stopWithRequests()
{
    log(log_level::warning, "router_stopped_with_requests", { { "requests", std::to_string(m_requests.size()) } });
    for (const auto& [caller, progress] : m_requests)
        logCut(progress);
    emit(stop_router {});
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
