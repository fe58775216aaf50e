#include "servers/sidecar/sidecar_reducer.h"

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterOverload { 1000 };

} // namespace

void sidecar_reducer::receive(const offer& request)
{
    recordMessageFrom(request.from);
    const auto found = m_attempts.find(request.attempt);
    if (found != m_attempts.end()) {
        sendState(found->second, request.nextChunk);
        return;
    }
    if (request.sidecarIncarnation != m_options.incarnation) {
        const answer_header header { request.attempt, m_options.id, m_options.incarnation };
        send(request.from.address, wrong_incarnation { header, request.sidecarIncarnation });
        return;
    }
    auto& record = m_attempts[request.attempt];
    record.request = request;
    record.arrivedAt = m_now;
    record.deadline = m_now + request.timeLeft;
    admit(record);
}

void sidecar_reducer::admit(attempt_record& record)
{
    if (m_draining) {
        refuse(record, error_code::draining, "upstream '" + m_options.id + "' is draining", std::chrono::milliseconds { 0 });
        return;
    }
    if (!m_healthy) {
        refuse(record, error_code::no_upstream, "upstream '" + m_options.id + "' does not respond", retryAfterOverload);
        return;
    }
    m_entries.addAttempt(record.request.from, record.request.attempt);
    m_scheduler->submit(record.request, m_now, m_actions);
    executeActions();
    if (!std::holds_alternative<attempt_queued>(record.state))
        return;
    log(log_level::debug, "attempt_queued", record);
    sendState(record, 0);
}

void sidecar_reducer::refuse(attempt_record& record, error_code reason, std::string message, std::chrono::milliseconds retryAfter)
{
    endAttempt(record, attempt_refused { reason, std::move(message), retryAfter });
    sendState(record, 0);
    log(log_level::info, "attempt_refused", record, { { "reason", toString(reason) } });
    count("kumquat_sidecar_refused_total", { { "reason", toString(reason) }, { "class", record.request.className } });
}

void sidecar_reducer::executeActions()
{
    // Executing an action adds no further actions, so iterators into m_actions remain valid.
    for (const auto& action : m_actions)
        std::visit([this](const auto& concrete) { execute(concrete); }, action);
    m_actions.clear();
}

void sidecar_reducer::execute(const begin_attempt& action)
{
    auto& record = m_attempts.at(action.attempt);
    const run_id run = m_nextRun++;
    record.state = attempt_running { run, m_now };
    m_runs.emplace(run, action.attempt);
    start_run start { .run = run, .job = record.request.job, .priority = record.request.tierRank };
    start.resumePrefix = record.request.deliveredPrefix;
    for (const auto& chunk : record.chunks)
        start.resumePrefix += chunk.text;
    start.resumeTokens = record.request.deliveredTokens + record.producedTokens;
    m_effects->push_back(std::move(start));
    if (action.resumes) {
        log(log_level::info, "attempt_resumed", record, { { "tokens", std::to_string(record.producedTokens) } });
        return;
    }
    sendState(record, 0);
    log(log_level::debug, "attempt_started", record);
}

void sidecar_reducer::execute(const preempt_attempt& action)
{
    auto& record = m_attempts.at(action.attempt);
    const auto run = std::get<attempt_running>(record.state).run;
    m_runs.erase(run);
    record.state = attempt_queued { .started = true };
    m_effects->push_back(cancel_run { run });
    log(log_level::info, "attempt_preempted", record, { { "tokens", std::to_string(record.producedTokens) } });
    count("kumquat_sidecar_preempted_total", { { "class", record.request.className } });
}

void sidecar_reducer::execute(const drop_attempt& action)
{
    auto& record = m_attempts.at(action.attempt);
    if (!action.resumes) {
        refuse(record, action.reason, action.message, action.retryAfter);
        return;
    }
    endAttempt(record, attempt_failed { .started = true, .reason = action.reason, .message = action.message });
    sendState(record, static_cast<std::uint32_t>(record.chunks.size()));
    log(log_level::warning, "attempt_failed", record, { { "started", "true" }, { "message", action.message } });
    count("kumquat_sidecar_failed_total", { { "reason", toString(action.reason) } });
}

} // namespace kumquat
