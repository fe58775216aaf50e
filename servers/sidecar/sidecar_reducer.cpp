#include "servers/sidecar/sidecar_reducer.h"

#include <algorithm>

namespace kumquat {

namespace {

    std::optional<instant> earliest(std::optional<instant> left, std::optional<instant> right)
    {
        if (!left)
            return right;
        if (!right)
            return left;
        return std::min(*left, *right);
    }

} // namespace

sidecar_reducer::sidecar_reducer(sidecar_options options)
    : m_options(std::move(options))
    , m_documentManager({ .self = { m_options.id, m_options.address, m_options.incarnation }, .dataCentre = m_options.dataCentre, .bootstrapPeers = m_options.documentPeers })
    , m_scheduler(std::make_unique<slot_scheduler>(m_options))
    , m_entries(m_options.entryTimeout)
{
}

void sidecar_reducer::step(const sidecar_event& event, instant now, sidecar_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    m_scheduler->fillSlots(m_now, m_actions);
    executeActions();
    publishReportOnLargeChange();
    reportViolations();
    stopWhenDrained();
    m_effects = nullptr;
}

std::optional<instant> sidecar_reducer::nextDeadline() const
{
    auto next = earliest(m_scheduler->nextDeadline(), m_tombstones.nextDeadline());
    next = earliest(next, m_nextReportAt);
    next = earliest(next, m_documentManager.nextDeadline());
    return earliest(next, m_drainDeadline);
}

void sidecar_reducer::handle(const peer_received& event)
{
    std::visit([this](const auto& message) { receive(message); }, event.message);
}

void sidecar_reducer::handle(const drain_requested&)
{
    if (m_draining)
        return;
    m_draining = true;
    m_drainDeadline = m_now + m_options.drainLimit;
    m_effects->push_back(log_event { log_level::info, "drain_started", { { "running", std::to_string(m_runs.size()) }, { "queued", std::to_string(queuedCount()) } } });
    // Preempted attempts are in progress and resume before the process stops.
    m_scheduler->refuseUnstarted(error_code::draining, "upstream '" + m_options.id + "' is draining", m_now, m_actions);
    executeActions();
    publishReport();
}

void sidecar_reducer::handle(const timer_due&)
{
    stepDocumentManager(document_timer_due {});
    while (const auto attempt = m_tombstones.popDue(m_now)) {
        discardAnswer(m_attempts.at(*attempt));
        m_scheduler->removeRecord(*attempt);
        m_attempts.erase(*attempt);
    }
    if (m_nextReportAt && *m_nextReportAt <= m_now) {
        cancelWorkOfSilentEntries();
        publishDueReports();
    }
}

void sidecar_reducer::cancelWorkOfSilentEntries()
{
    for (const auto& attempt : m_entries.removeSilentEntries(m_now)) {
        auto& record = m_attempts.at(attempt);
        const auto* queued = std::get_if<attempt_queued>(&record.state);
        const bool neverRan = queued && !queued->started;
        // An attempt that must not be repeated and has started runs to its end, because a claim query may still request its
        // outcome.
        if (!record.request.repeatable && !neverRan)
            continue;
        withdrawAttempt(record);
        count("kumquat_sidecar_abandoned_total", { { "class", record.request.className } });
    }
}

void sidecar_reducer::stopWhenDrained()
{
    if (!m_draining || m_stopped)
        return;
    const bool isPastDeadline = m_drainDeadline && *m_drainDeadline <= m_now;
    const bool isBusy = !m_runs.empty() || queuedCount() > 0 || m_entries.hasUnacknowledgedAnswers();
    if (!isPastDeadline && isBusy)
        return;
    m_stopped = true;
    m_drainDeadline.reset();
    m_effects->push_back(log_event { log_level::info, "drain_finished", { { "running", std::to_string(m_runs.size()) } } });
    m_effects->push_back(stop_process {});
}

answer_header sidecar_reducer::headerOf(const attempt_record& record) const
{
    return { record.request.attempt, m_options.id, m_options.incarnation };
}

void sidecar_reducer::send(const std::string& address, peer_message message)
{
    m_effects->push_back(send_to_peer { address, std::move(message) });
}

void sidecar_reducer::count(std::string name, metric_labels labels)
{
    m_effects->push_back(count_metric { std::move(name), std::move(labels) });
}

void sidecar_reducer::log(log_level level, std::string name, const attempt_record& record, std::vector<std::pair<std::string, std::string>> extraFields)
{
    log_event event { level, std::move(name), { { "request", record.request.attempt.requestId }, { "attempt", std::to_string(record.request.attempt.attempt) }, { "upstream", m_options.id } } };
    event.fields.insert(event.fields.end(), extraFields.begin(), extraFields.end());
    m_effects->push_back(std::move(event));
}

} // namespace kumquat
