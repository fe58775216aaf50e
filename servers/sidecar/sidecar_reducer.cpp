#include "servers/sidecar/sidecar_reducer.h"

#include "core/overloaded.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterOverload { 1000 };

    bool hasEnded(const attempt_state& state)
    {
        return !std::holds_alternative<attempt_queued>(state) && !std::holds_alternative<attempt_running>(state);
    }

    std::optional<instant> earlier(std::optional<instant> left, std::optional<instant> right)
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
    , m_keeper({ .self = { m_options.id, m_options.address, m_options.incarnation }, .dataCentre = m_options.dataCentre, .bootstrapPeers = m_options.documentPeers })
    , m_scheduler(std::make_unique<slot_scheduler>(m_options))
    , m_entries(m_options.entryTimeout)
{
}

void sidecar_reducer::step(const sidecar_event& event, instant now, sidecar_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    m_scheduler->fill(m_now, m_actions);
    executeActions();
    publishReportOnSharpChange();
    reportViolations();
    stopWhenDrained();
    m_effects = nullptr;
}

std::optional<instant> sidecar_reducer::nextDeadline() const
{
    auto next = earlier(m_scheduler->nextDeadline(), m_tombstones.nextDeadline());
    next = earlier(next, m_nextReport);
    next = earlier(next, m_keeper.nextDeadline());
    return earlier(next, m_drainDeadline);
}

void sidecar_reducer::handle(const peer_received& event)
{
    std::visit([this](const auto& message) { receive(message); }, event.message);
}

void sidecar_reducer::receive(const offer& request)
{
    heardFrom(request.from);
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        answerState(known->second, request.nextChunk);
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
    if (m_leaving) {
        refuse(record, error_code::draining, "upstream '" + m_options.id + "' is leaving", std::chrono::milliseconds { 0 });
        return;
    }
    if (!m_healthy) {
        refuse(record, error_code::no_upstream, "upstream '" + m_options.id + "' does not respond", retryAfterOverload);
        return;
    }
    m_entries.began(record.request.from, record.request.attempt);
    m_scheduler->submit(record.request, m_now, m_actions);
    executeActions();
    if (!std::holds_alternative<attempt_queued>(record.state))
        return;
    log(log_level::debug, "attempt_queued", record);
    answerState(record, 0);
}

void sidecar_reducer::refuse(attempt_record& record, error_code reason, std::string message, std::chrono::milliseconds retryAfter)
{
    end(record, attempt_refused { reason, std::move(message), retryAfter });
    answerState(record, 0);
    log(log_level::info, "attempt_refused", record, { { "reason", toString(reason) } });
    count("kumquat_sidecar_refused_total", { { "reason", toString(reason) }, { "class", record.request.className } });
}

void sidecar_reducer::executeActions()
{
    // Executing an action adds no further ones.
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
    answerState(record, 0);
    log(log_level::debug, "attempt_started", record);
}

void sidecar_reducer::execute(const interrupt_attempt& action)
{
    auto& record = m_attempts.at(action.attempt);
    const auto run = std::get<attempt_running>(record.state).run;
    m_runs.erase(run);
    record.state = attempt_queued { .started = true };
    m_effects->push_back(cancel_run { run });
    log(log_level::info, "attempt_preempted", record, { { "tokens", std::to_string(record.producedTokens) } });
    count("kumquat_sidecar_preempted_total", { { "class", record.request.className } });
}

void sidecar_reducer::execute(const give_up_attempt& action)
{
    auto& record = m_attempts.at(action.attempt);
    if (!action.resumes) {
        refuse(record, action.reason, action.message, action.retryAfter);
        return;
    }
    end(record, attempt_failed { .started = true, .reason = action.reason, .message = action.message });
    answerState(record, static_cast<std::uint32_t>(record.chunks.size()));
    log(log_level::warning, "attempt_failed", record, { { "started", "true" }, { "message", action.message } });
    count("kumquat_sidecar_failed_total", { { "reason", toString(action.reason) } });
}

// Moves an attempt to a final state and keeps it as a tombstone.
void sidecar_reducer::end(attempt_record& record, attempt_state state)
{
    if (const auto* running = std::get_if<attempt_running>(&record.state))
        m_runs.erase(running->run);
    record.state = std::move(state);
    record.request.job = {};
    record.request.deliveredPrefix.clear();
    m_entries.ended(record.request.from, record.request.attempt);
    if (!record.chunks.empty())
        m_entries.keptAnswer(record.request.from, record.request.attempt);
    m_tombstones.set(record.request.attempt, m_now + m_options.tombstoneRetention);
}

void sidecar_reducer::answerState(const attempt_record& record, std::uint32_t firstChunk)
{
    const auto header = headerOf(record);
    const auto& address = record.request.from.address;
    const auto sendChunks = [&] {
        for (std::uint32_t sequence = firstChunk; sequence < record.chunks.size(); ++sequence)
            answerChunk(record, sequence);
    };
    const auto visitor = overloaded {
        [&](const attempt_queued& queued) {
            // What was preempted has started, as far as its entry is concerned.
            if (queued.started)
                send(address, offer_started { header });
            else
                send(address, offer_queued { header, static_cast<std::uint32_t>(queuedCount()) });
            sendChunks();
        },
        [&](const attempt_running&) {
            send(address, offer_started { header });
            sendChunks();
        },
        [&](const attempt_finished& finished) {
            sendChunks();
            send(address, offer_finished { header, static_cast<std::uint32_t>(record.chunks.size()), record.status, record.contentType, finished.finishReason, finished.promptTokens });
        },
        [&](const attempt_failed& failed) {
            sendChunks();
            send(address, offer_failed { header, failed.started, failed.crashed, failed.reason, failed.message });
        },
        [&](const attempt_refused& refused) { send(address, offer_refused { header, refused.reason, refused.message, refused.retryAfter }); },
        [&](const attempt_withdrawn& withdrawn) { send(address, offer_withdrawn { header, withdrawn.started }); },
    };
    std::visit(visitor, record.state);
}

void sidecar_reducer::answerChunk(const attempt_record& record, std::uint32_t sequence)
{
    const auto& chunk = record.chunks[sequence];
    send(record.request.from.address, output_chunk { headerOf(record), sequence, chunk.tokens, chunk.text });
}

void sidecar_reducer::receive(const withdraw& request)
{
    heardFrom(request.from);
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        withdrawKnown(known->second);
        return;
    }
    if (request.sidecarIncarnation != m_options.incarnation) {
        const answer_header header { request.attempt, m_options.id, m_options.incarnation };
        send(request.from.address, wrong_incarnation { header, request.sidecarIncarnation });
        return;
    }
    // The tombstone makes an offer that arrives after its withdrawal harmless.
    auto& record = m_attempts[request.attempt];
    record.request.from = request.from;
    record.request.attempt = request.attempt;
    m_scheduler->closed(request.attempt);
    end(record, attempt_withdrawn { false });
    answerState(record, 0);
}

void sidecar_reducer::withdrawKnown(attempt_record& record)
{
    const auto& attempt = record.request.attempt;
    if (const auto* queued = std::get_if<attempt_queued>(&record.state)) {
        m_scheduler->withdraw(attempt, m_now);
        end(record, attempt_withdrawn { queued->started });
    } else if (const auto* running = std::get_if<attempt_running>(&record.state)) {
        m_effects->push_back(cancel_run { running->run });
        m_scheduler->ended(attempt, slot_scheduler::run_end::cancelled, m_now);
        end(record, attempt_withdrawn { true });
        log(log_level::info, "attempt_cancelled", record);
    }
    releaseAnswer(record);
    answerState(record, 0);
}

// Ends the entry's interest in an answer. That of finished work that must not run twice is kept for claim queries.
void sidecar_reducer::releaseAnswer(attempt_record& record)
{
    if (record.request.repeatable || !std::holds_alternative<attempt_finished>(record.state))
        dropAnswer(record);
    else
        m_entries.droppedAnswer(record.request.from, record.request.attempt);
}

void sidecar_reducer::dropAnswer(attempt_record& record)
{
    record.chunks.clear();
    record.chunks.shrink_to_fit();
    m_entries.droppedAnswer(record.request.from, record.request.attempt);
}

void sidecar_reducer::receive(const acknowledge& request)
{
    const auto known = m_attempts.find(request.attempt);
    if (known == m_attempts.end() || !hasEnded(known->second.state))
        return;
    releaseAnswer(known->second);
}

void sidecar_reducer::receive(const subscribe& request)
{
    heardFrom(request.from);
    if (m_entries.subscribe(request.from, request.reportInterval, m_now))
        send(request.from.address, makeReport());
    stepKeeper(peer_version_seen { request.from, { request.generation, request.documentHash } });
}

void sidecar_reducer::heardFrom(const peer_identity& entry)
{
    m_entries.heard(entry, m_now);
    if (!m_nextReport)
        m_nextReport = m_now + m_options.reportInterval;
}

void sidecar_reducer::receive(const document_request& message)
{
    stepKeeper(message);
}

void sidecar_reducer::receive(const document_difference& message)
{
    stepKeeper(message);
}

void sidecar_reducer::receive(const document_whole& message)
{
    stepKeeper(message);
}

void sidecar_reducer::handle(const sidecar_keeper_event& event)
{
    stepKeeper(event.event);
}

void sidecar_reducer::stepKeeper(const keeper_event& event)
{
    keeper_effects effects;
    m_keeper.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_to_keeper& message) { send(message.address, std::move(message.message)); },
        [this](adopt_document& adopt) { handle(document_received { adopt.document->contents }); },
        // Only entries watch the store.
        [](watch_store&) {},
        [](repair_store&) {},
        [this](auto& other) { m_effects->push_back(std::move(other)); },
    };
    for (auto& effect : effects)
        std::visit(visitor, effect);
}

// Says how a not-repeatable request fared whose entry is gone. Silence means that it is not known here.
void sidecar_reducer::receive(const claim_query& query)
{
    for (auto position = m_attempts.lower_bound({ query.requestId, 0 }); position != m_attempts.end() && position->first.requestId == query.requestId; ++position) {
        const auto status = claimStatusOf(position->second);
        if (status.state != claim_state::unknown)
            send(query.from.address, status);
    }
}

claim_status sidecar_reducer::claimStatusOf(const attempt_record& record) const
{
    claim_status status { .requestId = record.request.attempt.requestId };
    if (!hasEnded(record.state)) {
        status.state = claim_state::in_progress;
        return status;
    }
    const auto* finished = std::get_if<attempt_finished>(&record.state);
    if (!finished || record.request.repeatable)
        return status;
    status.state = claim_state::finished;
    status.answer = { true, record.status, record.contentType, {}, finished->finishReason, finished->promptTokens, record.producedTokens };
    for (const auto& chunk : record.chunks)
        status.answer.text += chunk.text;
    return status;
}

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
    m_scheduler->produced(record->request.attempt, event.tokens, m_now);
    answerChunk(*record, static_cast<std::uint32_t>(record->chunks.size() - 1));
}

void sidecar_reducer::handle(const run_finished& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    m_scheduler->ended(record->request.attempt, slot_scheduler::run_end::finished, m_now);
    end(*record, attempt_finished { event.finishReason, event.promptTokens });
    // The chunks have been sent as they came; a gap is repaired when the entry resends its offer.
    answerState(*record, static_cast<std::uint32_t>(record->chunks.size()));
    log(log_level::info, "attempt_finished", *record, { { "tokens", std::to_string(record->producedTokens) } });
    count("kumquat_sidecar_finished_total", { { "class", record->request.className } });
}

void sidecar_reducer::handle(const run_failed& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    const auto how = event.connectionBroke ? slot_scheduler::run_end::connection_broke : slot_scheduler::run_end::failed;
    m_scheduler->ended(record->request.attempt, how, m_now);
    // An attempt that was preempted has run, whatever became of its last part.
    const bool started = event.started || record->producedTokens > 0;
    end(*record, attempt_failed { started, event.connectionBroke, error_code::upstream_failed, event.message });
    answerState(*record, static_cast<std::uint32_t>(record->chunks.size()));
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

void sidecar_reducer::handle(const document_received& event)
{
    // The keeper decides between documents of one generation.
    if (event.contents->generation() < generation())
        return;
    m_scheduler->adopt(event.contents);
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

void sidecar_reducer::handle(const drain_requested&)
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_drainDeadline = m_now + m_options.drainLimit;
    m_effects->push_back(log_event { log_level::info, "drain_started", { { "running", std::to_string(m_runs.size()) }, { "queued", std::to_string(queuedCount()) } } });
    // What was preempted is in progress and continues here.
    m_scheduler->refuseWaiting(error_code::draining, "upstream '" + m_options.id + "' is leaving", m_now, m_actions);
    executeActions();
    publishReport();
}

void sidecar_reducer::handle(const timer_due&)
{
    stepKeeper(keeper_timer_due {});
    while (const auto attempt = m_tombstones.popDue(m_now)) {
        dropAnswer(m_attempts.at(*attempt));
        m_scheduler->forgotten(*attempt);
        m_attempts.erase(*attempt);
    }
    if (m_nextReport && *m_nextReport <= m_now) {
        cancelWorkOfSilentEntries();
        publishDueReports();
    }
}

void sidecar_reducer::cancelWorkOfSilentEntries()
{
    for (const auto& attempt : m_entries.takeAbandoned(m_now)) {
        auto& record = m_attempts.at(attempt);
        const auto* queued = std::get_if<attempt_queued>(&record.state);
        const bool neverRan = queued && !queued->started;
        // What must run once and has begun runs to its end, since its outcome may still be asked for.
        if (!record.request.repeatable && !neverRan)
            continue;
        withdrawKnown(record);
        count("kumquat_sidecar_abandoned_total", { { "class", record.request.className } });
    }
}

report sidecar_reducer::makeReport() const
{
    report result;
    result.from = { m_options.id, m_options.address, m_options.incarnation };
    result.service = m_options.service;
    result.dataCentre = m_options.dataCentre;
    result.generation = generation();
    result.documentHash = m_keeper.version().hash;
    result.leaving = m_leaving;
    result.healthy = m_healthy;
    result.slots = m_scheduler->usableSlots();
    result.freeSlots = result.slots - std::min(result.slots, runningCount());
    result.tokensPerSecond = m_scheduler->estimator().tokensPerSecond();
    result.tiers = m_scheduler->load();
    result.suspects = m_scheduler->suspects().suspects();
    result.refusedFingerprints = m_scheduler->suspects().refused();
    return result;
}

void sidecar_reducer::publishReport()
{
    sendReport(m_entries.takeSubscribers(m_now));
    m_lastReportedLoad = runningCount() + static_cast<std::uint32_t>(queuedCount());
    m_reportedSuspicions = m_scheduler->suspects().version();
    scheduleReport();
}

void sidecar_reducer::publishDueReports()
{
    sendReport(m_entries.takeDueSubscribers(m_now));
    scheduleReport();
}

void sidecar_reducer::sendReport(const std::vector<peer_identity>& receivers)
{
    if (receivers.empty())
        return;
    const auto current = makeReport();
    for (const auto& entry : receivers)
        send(entry.address, current);
}

void sidecar_reducer::scheduleReport()
{
    m_nextReport = m_entries.hasEntries() ? std::optional(m_now + m_options.reportInterval) : std::nullopt;
}

void sidecar_reducer::publishReportOnSharpChange()
{
    const auto load = runningCount() + static_cast<std::uint32_t>(queuedCount());
    const auto difference = load > m_lastReportedLoad ? load - m_lastReportedLoad : m_lastReportedLoad - load;
    const bool isSharp = difference > std::max(m_options.slots / 2, 1U);
    const bool isSuspicionNew = m_reportedSuspicions != m_scheduler->suspects().version();
    if (isSuspicionNew)
        count("kumquat_sidecar_suspicions_total");
    if (isSharp || isSuspicionNew)
        publishReport();
}

// A violation is a fault of this program that harms fairness, not truth: it is made known, and the process goes on.
void sidecar_reducer::reportViolations()
{
    const auto& invariants = m_scheduler->invariants();
    if (invariants.violationCount() == m_reportedViolations)
        return;
    m_reportedViolations = invariants.violationCount();
    m_effects->push_back(log_event { log_level::error, "invariant_violated", { { "upstream", m_options.id }, { "message", invariants.violations().back() } } });
    count("kumquat_sidecar_invariant_violations_total");
}

void sidecar_reducer::stopWhenDrained()
{
    if (!m_leaving || m_stopped)
        return;
    const bool isLate = m_drainDeadline && *m_drainDeadline <= m_now;
    const bool isBusy = !m_runs.empty() || queuedCount() > 0 || m_entries.hasUnacknowledgedAnswers();
    if (!isLate && isBusy)
        return;
    m_stopped = true;
    m_drainDeadline.reset();
    m_effects->push_back(log_event { log_level::info, "drain_finished", { { "running", std::to_string(m_runs.size()) } } });
    m_effects->push_back(stop_process {});
}

attempt_record* sidecar_reducer::findRunning(run_id run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &m_attempts.at(found->second);
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

void sidecar_reducer::log(log_level level, std::string name, const attempt_record& record, std::vector<std::pair<std::string, std::string>> more)
{
    log_event event { level, std::move(name), { { "request", record.request.attempt.requestId }, { "attempt", std::to_string(record.request.attempt.attempt) }, { "upstream", m_options.id } } };
    event.fields.insert(event.fields.end(), more.begin(), more.end());
    m_effects->push_back(std::move(event));
}

} // namespace kumquat
