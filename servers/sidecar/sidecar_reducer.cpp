#include "servers/sidecar/sidecar_reducer.h"

#include "core/overloaded.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterOverload { 1000 };
    constexpr double rateSmoothing = 0.2;

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
    , m_queue(m_options.policy)
{
}

void sidecar_reducer::step(const sidecar_event& event, instant now, sidecar_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    fillSlots();
    publishReportOnSharpChange();
    stopWhenDrained();
    m_effects = nullptr;
}

std::optional<instant> sidecar_reducer::nextDeadline() const
{
    auto next = earlier(m_queue.nextDeadline(), m_tombstones.nextDeadline());
    next = earlier(next, m_nextReport);
    return earlier(next, m_drainDeadline);
}

std::uint64_t sidecar_reducer::generation() const
{
    return m_document ? m_document->generation() : 0;
}

void sidecar_reducer::handle(const peer_received& event)
{
    std::visit([this](const auto& message) { receive(message); }, event.message);
}

void sidecar_reducer::receive(const offer& request)
{
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
    if (!makeRoomFor(record)) {
        refuse(record, error_code::overloaded, "queue of upstream '" + m_options.id + "' is full", retryAfterOverload);
        return;
    }
    const auto& request = record.request;
    m_queue.push({ .attempt = request.attempt,
        .tierRank = request.tierRank,
        .className = request.className,
        .organisation = request.organisation,
        .expectedTokens = request.expectedTokens,
        .arrived = m_now,
        .deadline = record.deadline });
    m_load.queued(record);
    log(log_level::debug, "attempt_queued", record);
    fillSlots();
    if (std::holds_alternative<attempt_queued>(record.state))
        answerState(record, 0);
}

bool sidecar_reducer::makeRoomFor(const attempt_record& record)
{
    if (m_queue.size() < m_options.queueLimit)
        return true;
    const auto displaced = m_queue.displaceBelow(record.request.tierRank);
    if (!displaced)
        return false;
    refuse(m_attempts.at(displaced->attempt), error_code::overloaded, "displaced by a request of a higher tier", retryAfterOverload);
    return true;
}

void sidecar_reducer::refuse(attempt_record& record, error_code reason, std::string message, std::chrono::milliseconds retryAfter)
{
    end(record, attempt_refused { reason, std::move(message), retryAfter });
    answerState(record, 0);
    log(log_level::info, "attempt_refused", record, { { "reason", toString(reason) } });
    m_effects->push_back(count_metric { "kumquat_sidecar_refused_total", { { "reason", toString(reason) } } });
}

void sidecar_reducer::fillSlots()
{
    while (m_healthy && m_runs.size() < m_options.slots) {
        const auto next = m_queue.popNext(m_now);
        if (!next)
            return;
        startAttempt(m_attempts.at(next->attempt));
    }
}

void sidecar_reducer::startAttempt(attempt_record& record)
{
    const run_id run = m_nextRun++;
    m_load.started(record);
    record.state = attempt_running { run, m_now };
    m_runs.emplace(run, record.request.attempt);
    m_effects->push_back(start_run { .run = run,
        .job = record.request.job,
        .priority = record.request.tierRank,
        .resumePrefix = record.request.deliveredPrefix,
        .resumeTokens = record.request.deliveredTokens });
    answerState(record, 0);
    log(log_level::debug, "attempt_started", record);
}

// Moves an attempt to a final state and keeps it as a tombstone.
void sidecar_reducer::end(attempt_record& record, attempt_state state)
{
    if (const auto* running = std::get_if<attempt_running>(&record.state))
        m_runs.erase(running->run);
    m_load.ended(record);
    record.state = std::move(state);
    record.request.job = {};
    record.request.deliveredPrefix.clear();
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
        [&](const attempt_queued&) { send(address, offer_queued { header, static_cast<std::uint32_t>(m_queue.size()) }); },
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
    end(record, attempt_withdrawn { false });
    answerState(record, 0);
}

void sidecar_reducer::withdrawKnown(attempt_record& record)
{
    if (std::holds_alternative<attempt_queued>(record.state)) {
        m_queue.remove(record.request.attempt);
        end(record, attempt_withdrawn { false });
    } else if (const auto* running = std::get_if<attempt_running>(&record.state)) {
        m_effects->push_back(cancel_run { running->run });
        end(record, attempt_withdrawn { true });
        log(log_level::info, "attempt_cancelled", record);
    }
    record.acknowledged = true;
    // What a claim query may be answered with stays whole.
    if (record.request.repeatable || !std::holds_alternative<attempt_finished>(record.state))
        record.chunks.clear();
    answerState(record, 0);
}

void sidecar_reducer::receive(const acknowledge& request)
{
    const auto known = m_attempts.find(request.attempt);
    if (known == m_attempts.end() || !hasEnded(known->second.state))
        return;
    known->second.acknowledged = true;
    if (!known->second.request.repeatable)
        return;
    known->second.chunks.clear();
    known->second.chunks.shrink_to_fit();
}

void sidecar_reducer::receive(const subscribe& request)
{
    auto& entry = m_subscribers[request.from.id];
    const bool isNew = entry.identity.incarnation != request.from.incarnation;
    entry.identity = request.from;
    entry.lastHeard = m_now;
    if (isNew)
        send(request.from.address, makeReport());
    if (!m_nextReport)
        m_nextReport = m_now + m_options.reportInterval;
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
    m_load.produced(*record, event.tokens);
    answerChunk(*record, static_cast<std::uint32_t>(record->chunks.size() - 1));
}

void sidecar_reducer::handle(const run_finished& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    const auto elapsed = std::chrono::duration<double>(m_now - std::get<attempt_running>(record->state).startedAt).count();
    if (record->producedTokens > 0 && elapsed > 0) {
        const double rate = record->producedTokens / elapsed;
        m_tokensPerSecond = m_tokensPerSecond == 0 ? rate : m_tokensPerSecond + rateSmoothing * (rate - m_tokensPerSecond);
    }
    end(*record, attempt_finished { event.finishReason, event.promptTokens });
    // The chunks have been sent as they came; a gap is repaired when the entry resends its offer.
    answerState(*record, static_cast<std::uint32_t>(record->chunks.size()));
    log(log_level::info, "attempt_finished", *record, { { "tokens", std::to_string(record->producedTokens) } });
    m_effects->push_back(count_metric { "kumquat_sidecar_finished_total", {} });
}

void sidecar_reducer::handle(const run_failed& event)
{
    auto* record = findRunning(event.run);
    if (!record)
        return;
    end(*record, attempt_failed { event.started, event.connectionBroke, error_code::upstream_failed, event.message });
    answerState(*record, static_cast<std::uint32_t>(record->chunks.size()));
    log(log_level::warning, "attempt_failed", *record, { { "started", event.started ? "true" : "false" }, { "message", event.message } });
    m_effects->push_back(count_metric { "kumquat_sidecar_failed_total", {} });
}

void sidecar_reducer::handle(const upstream_probed& event)
{
    if (event.healthy == m_healthy)
        return;
    m_healthy = event.healthy;
    m_effects->push_back(log_event { log_level::warning, "upstream_health", { { "upstream", m_options.id }, { "healthy", m_healthy ? "true" : "false" } } });
    publishReport();
}

void sidecar_reducer::handle(const document_received& event)
{
    if (event.contents->generation() <= generation())
        return;
    m_document = event.contents;
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

void sidecar_reducer::handle(const drain_requested&)
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_drainDeadline = m_now + m_options.drainLimit;
    m_effects->push_back(log_event { log_level::info, "drain_started", { { "running", std::to_string(m_runs.size()) }, { "queued", std::to_string(m_queue.size()) } } });
    for (const auto& waiting : m_queue.removeAll())
        refuse(m_attempts.at(waiting.attempt), error_code::draining, "upstream '" + m_options.id + "' is leaving", std::chrono::milliseconds { 0 });
    publishReport();
}

void sidecar_reducer::handle(const timer_due&)
{
    for (const auto& expired : m_queue.removeExpired(m_now))
        refuse(m_attempts.at(expired.attempt), error_code::timeout, "no slot became free in time", retryAfterOverload);
    while (const auto attempt = m_tombstones.popDue(m_now))
        m_attempts.erase(*attempt);
    if (m_nextReport && *m_nextReport <= m_now) {
        cancelWorkOfSilentEntries();
        publishReport();
    }
}

void sidecar_reducer::cancelWorkOfSilentEntries()
{
    std::erase_if(m_subscribers, [&](const auto& item) {
        const auto& entry = item.second;
        if (entry.lastHeard + m_options.entryTimeout > m_now)
            return false;
        for (auto& [id, record] : m_attempts) {
            const bool isTheirs = record.request.from.id == entry.identity.id && record.request.from.incarnation == entry.identity.incarnation;
            if (isTheirs && record.request.repeatable && !hasEnded(record.state))
                withdrawKnown(record);
        }
        return true;
    });
}

report sidecar_reducer::makeReport() const
{
    report result;
    result.from = { m_options.id, m_options.address, m_options.incarnation };
    result.service = m_options.service;
    result.dataCentre = m_options.dataCentre;
    result.generation = generation();
    result.leaving = m_leaving;
    result.healthy = m_healthy;
    result.slots = m_options.slots;
    result.freeSlots = m_options.slots - std::min<std::uint32_t>(m_options.slots, runningCount());
    result.tokensPerSecond = m_tokensPerSecond;
    result.tiers = m_load.tiers();
    return result;
}

void sidecar_reducer::publishReport()
{
    const auto current = makeReport();
    for (const auto& [id, entry] : m_subscribers)
        send(entry.identity.address, current);
    m_lastReportedLoad = runningCount() + static_cast<std::uint32_t>(m_queue.size());
    m_nextReport = m_subscribers.empty() ? std::nullopt : std::optional(m_now + m_options.reportInterval);
}

void sidecar_reducer::publishReportOnSharpChange()
{
    const auto load = runningCount() + static_cast<std::uint32_t>(m_queue.size());
    const auto difference = load > m_lastReportedLoad ? load - m_lastReportedLoad : m_lastReportedLoad - load;
    if (difference > std::max(m_options.slots / 2, 1U))
        publishReport();
}

void sidecar_reducer::stopWhenDrained()
{
    if (!m_leaving || m_stopped)
        return;
    const bool isLate = m_drainDeadline && *m_drainDeadline <= m_now;
    if (!isLate && (!m_runs.empty() || hasUnacknowledgedAnswers()))
        return;
    m_stopped = true;
    m_drainDeadline.reset();
    m_effects->push_back(log_event { log_level::info, "drain_finished", { { "running", std::to_string(m_runs.size()) } } });
    m_effects->push_back(stop_process {});
}

// An answer that its entry has not yet acknowledged may still need to be sent again.
bool sidecar_reducer::hasUnacknowledgedAnswers() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [this](const auto& item) {
        const auto& record = item.second;
        return !record.chunks.empty() && !record.acknowledged && m_subscribers.contains(record.request.from.id);
    });
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

void sidecar_reducer::log(log_level level, std::string name, const attempt_record& record, std::vector<std::pair<std::string, std::string>> more)
{
    log_event event { level, std::move(name), { { "request", record.request.attempt.requestId }, { "attempt", std::to_string(record.request.attempt.attempt) }, { "upstream", m_options.id } } };
    event.fields.insert(event.fields.end(), more.begin(), more.end());
    m_effects->push_back(std::move(event));
}

} // namespace kumquat
