#include "servers/sidecar/sidecar_reducer.h"

namespace kumquat {

void sidecar_reducer::handle(const run_head& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    record->status = event.status;
    record->contentType = event.contentType;
}

void sidecar_reducer::handle(const run_output& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    record->chunks.push_back({ event.text, event.tokens });
    record->producedTokens += event.tokens;
    m_scheduler->recordOutput(record->request.attempt, event.tokens, m_now);
    sendChunk(*record, static_cast<std::uint32_t>(record->chunks.size() - 1));
}

void sidecar_reducer::handle(const run_finished& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    m_scheduler->recordEnd(record->request.attempt, slot_scheduler::run_end::finished, m_now);
    endAttempt(*record, attempt_finished { event.finishReason, event.promptTokens });
    // All chunks have been sent already. If the entry has missed some, it resends its offer and gets them again.
    sendState(*record, static_cast<std::uint32_t>(record->chunks.size()));
    log(log_level::info, "attempt_finished", *record, { { "tokens", std::to_string(record->producedTokens) } });
    count("kumquat_sidecar_finished_total", { { "class", record->request.className } });
}

void sidecar_reducer::handle(const run_failed& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    const auto outcome = event.connectionBroke ? slot_scheduler::run_end::connection_broke : slot_scheduler::run_end::failed;
    m_scheduler->recordEnd(record->request.attempt, outcome, m_now);
    // A preempted attempt has run, even if its last run did not start.
    const bool started = event.started || record->producedTokens > 0;
    endAttempt(*record, attempt_failed { started, event.connectionBroke, error_code::upstream_failed, event.message });
    sendState(*record, static_cast<std::uint32_t>(record->chunks.size()));
    log(log_level::warning, "attempt_failed", *record, { { "started", started ? "true" : "false" }, { "message", event.message } });
    count("kumquat_sidecar_failed_total", { { "reason", toString(error_code::upstream_failed) } });
}

void sidecar_reducer::handle(const upstream_probed& event)
{
    if (event.healthy == m_healthy)
        return;
    m_healthy = event.healthy;
    m_scheduler->setHealthy(m_healthy, m_now, m_actions);
    executeActions();
    m_effects->push_back(log_event { log_level::warning, "upstream_health", { { "upstream", m_options.id }, { "healthy", m_healthy ? "true" : "false" } } });
    publishReport();
}

attempt_record* sidecar_reducer::findRunning(run_id run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &m_attempts.at(found->second);
}

} // namespace kumquat
