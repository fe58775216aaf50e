#include "servers/entry/entry_reducer.h"

#include "core/hash.h"
#include "servers/entry/classifier.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterNoUpstream { 1000 };

    std::uint64_t fingerprintOf(const std::string& organisation, const std::string& service, const std::string& body)
    {
        return hashBytes(body, hashBytes(service, hashBytes(organisation)));
    }

    std::string hexadecimal(std::uint64_t value)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text;
        for (int shift = 60; shift >= 0; shift -= 4)
            text += digits[(value >> shift) & 0xf];
        return text;
    }

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

} // namespace

entry_reducer::entry_reducer(entry_options options)
    : m_options(std::move(options))
    , m_directory(m_options.reportTimeout)
    , m_selector(m_options.policy, m_options.dataCentre, m_options.seed)
{
}

void entry_reducer::step(const entry_event& event, instant now, entry_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    stopWhenDrained();
    m_effects = nullptr;
}

std::optional<instant> entry_reducer::nextDeadline() const
{
    std::optional<instant> next;
    for (const auto& candidate : { m_timers.nextDeadline(), m_nextSubscribe, m_listenDeadline, m_drainDeadline }) {
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    }
    return next;
}

std::uint64_t entry_reducer::generation() const
{
    return m_document ? m_document->generation() : 0;
}

void entry_reducer::handle(const caller_arrived& event)
{
    const auto id = m_options.id + "-" + hexadecimal(m_options.incarnation) + "-" + std::to_string(m_nextRequest++);
    const auto reject = [&](const caller_error& error) {
        m_effects->push_back(fail_answer { event.channel, id, error });
        m_effects->push_back(log_event { log_level::info, "request_rejected", { { "request", id }, { "code", toString(error.code) }, { "message", error.message } } });
        m_effects->push_back(count_metric { "kumquat_entry_rejected_total", { { "code", toString(error.code) } } });
    };
    if (!m_document) {
        reject({ .code = error_code::not_configured, .message = "no document is in force yet", .retryAfter = retryAfterNoUpstream });
        return;
    }
    const auto outcome = classify(*m_document, event.request);
    if (const auto* error = std::get_if<caller_error>(&outcome)) {
        reject(*error);
        return;
    }
    const auto& found = std::get<classification>(outcome);
    request_record record;
    record.id = id;
    record.channel = event.channel;
    record.organisation = found.caller->name;
    record.requestClass = *found.requestClass;
    record.service = found.target->name;
    record.kind = found.target->kind;
    record.format = event.request.format;
    record.job = { .service = record.service, .kind = record.kind, .method = event.request.method, .path = found.upstreamPath, .contentType = event.request.contentType, .body = event.request.body };
    record.fingerprint = fingerprintOf(record.organisation, record.service, record.job.body);
    record.expectedTokens = record.requestClass.expectedTokens;
    if (record.kind == service_kind::engine) {
        const auto& summary = valueOf(event.request.completion);
        record.model = summary.model;
        record.prefixHashes = summary.prefixHashes;
        if (summary.maximumTokens > 0)
            record.expectedTokens = std::min(record.expectedTokens, summary.maximumTokens);
    }
    record.arrivedAt = m_now;
    record.deadline = m_now + m_options.requestTimeout;
    m_channels.emplace(event.channel, id);
    auto& kept = m_requests.emplace(id, std::move(record)).first->second;
    log(log_level::info, "request_accepted", kept, { { "organisation", kept.organisation }, { "class", kept.requestClass.name }, { "service", kept.service } });
    dispatch(kept);
}

void entry_reducer::dispatch(request_record& record)
{
    const auto candidates = m_directory.usable(record.service, m_now);
    const bool refusedForLoad = record.lastError && record.lastError->code == error_code::overloaded;
    auto* chosen = m_selector.select(candidates,
        { .service = record.service,
            .tierRank = record.requestClass.tierRank,
            .expectedTokens = record.expectedTokens,
            .prefixHashes = &record.prefixHashes,
            .tried = &record.tried,
            .refusedForLoad = refusedForLoad },
        m_now);
    if (!chosen) {
        caller_error error { .code = error_code::no_upstream, .message = "no upstream of service '" + record.service + "' can take the request", .ran = record.ran, .retryAfter = retryAfterNoUpstream };
        fail(record, record.lastError ? *record.lastError : error);
        return;
    }
    record.tried.insert(chosen->id);
    record.attemptCount++;
    live_attempt attempt;
    attempt.number = record.attemptCount;
    attempt.upstreamId = chosen->id;
    attempt.address = chosen->address;
    attempt.sidecarIncarnation = chosen->lastReport->from.incarnation;
    record.attempt = std::move(attempt);
    chosen->ownInFlight++;
    auto& sent = chosen->sentSinceReport[record.requestClass.tierRank];
    sent.requests++;
    sent.tokens += record.expectedTokens;
    chosen->prefixes.remember(record.prefixHashes);
    sendOffer(record);
}

void entry_reducer::sendOffer(request_record& record)
{
    auto& attempt = *record.attempt;
    attempt.copies++;
    attempt.unanswered++;
    offer message {
        .from = { m_options.id, m_options.address, m_options.incarnation },
        .attempt = { record.id, attempt.number },
        .sidecarIncarnation = attempt.sidecarIncarnation,
        .tierRank = record.requestClass.tierRank,
        .className = record.requestClass.name,
        .organisation = record.organisation,
        .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(record.deadline - m_now),
        .expectedTokens = record.expectedTokens,
        .fingerprint = record.fingerprint,
        .repeatable = record.requestClass.repeatable,
        .streaming = record.format == answer_format::chat_stream || record.format == answer_format::completion_stream,
        .nextChunk = attempt.chunks.nextChunk(),
        .job = record.job,
        .waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - record.arrivedAt),
    };
    m_effects->push_back(send_to_sidecar { attempt.address, std::move(message) });
    m_timers.set(record.id, std::min(record.deadline, m_now + m_options.resendInterval));
}

void entry_reducer::handle(const caller_gone& event)
{
    const auto found = m_channels.find(event.channel);
    if (found == m_channels.end())
        return;
    auto& record = m_requests.at(found->second);
    log(log_level::info, "caller_gone", record, { { "delivered_tokens", std::to_string(record.deliveredTokens) } });
    m_effects->push_back(count_metric { "kumquat_entry_abandoned_total", { { "class", record.requestClass.name } } });
    withdrawAttempt(record);
    forget(record);
}

void entry_reducer::handle(const entry_peer_received& event)
{
    std::visit([this](const auto& message) { receive(message); }, event.message);
}

request_record* entry_reducer::findCurrent(const answer_header& header)
{
    const auto found = m_requests.find(header.attempt.requestId);
    if (found == m_requests.end())
        return nullptr;
    auto& attempt = found->second.attempt;
    if (!attempt || attempt->number != header.attempt.attempt || attempt->upstreamId != header.sidecarId)
        return nullptr;
    attempt->unanswered = 0;
    return &found->second;
}

void entry_reducer::receive(const offer_refused& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    attemptEnded(*record);
    caller_error error { .code = message.reason, .message = message.message, .ran = record->ran };
    if (message.retryAfter.count() > 0)
        error.retryAfter = message.retryAfter;
    retryOrFail(*record, error);
}

void entry_reducer::receive(const offer_queued& message)
{
    findCurrent(message.header);
}

void entry_reducer::receive(const offer_started& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    if (!record->attempt->started)
        record->attempt->lastProgress = m_now;
    record->attempt->started = true;
    record->ran = ran_state::yes;
}

void entry_reducer::receive(const output_chunk& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    observeSpeed(*record->attempt, message);
    record->attempt->started = true;
    record->ran = ran_state::yes;
    for (const auto& piece : record->attempt->chunks.accept(message))
        deliver(*record, piece);
    finishWhenComplete(*record);
}

// Learns from chunks that arrive in order; a repaired gap says nothing about the upstream.
void entry_reducer::observeSpeed(live_attempt& attempt, const output_chunk& chunk)
{
    if (chunk.sequence != attempt.chunks.nextChunk())
        return;
    auto* upstream = m_directory.find(attempt.upstreamId);
    if (upstream && attempt.lastProgress && chunk.sequence == 0)
        upstream->speed.observeFirstChunk(m_now - *attempt.lastProgress, m_now);
    if (upstream && attempt.lastProgress && chunk.sequence > 0)
        upstream->speed.observeGap((m_now - *attempt.lastProgress) / std::max(1U, chunk.tokens), m_now);
    attempt.lastProgress = m_now;
}

void entry_reducer::deliver(request_record& record, const answer_assembler::piece& piece)
{
    if (!record.firstTokenAt) {
        record.firstTokenAt = m_now;
        m_effects->push_back(observe_metric { "kumquat_first_token_seconds", { { "class", record.requestClass.name } }, seconds(m_now - record.arrivedAt) });
    }
    record.deliveredTokens += piece.tokens;
    // A plain answer begins when its status is known, which is at its end.
    if (record.kind == service_kind::plain) {
        record.deliveredText += piece.text;
        return;
    }
    begin(record, 200, "");
    m_effects->push_back(append_answer { record.channel, piece.text, piece.tokens });
}

void entry_reducer::begin(request_record& record, int status, const std::string& contentType)
{
    if (record.begun)
        return;
    record.begun = true;
    m_effects->push_back(begin_answer { record.channel, record.id, record.model, record.format, status, contentType });
}

void entry_reducer::receive(const offer_finished& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    record->ran = ran_state::yes;
    record->attempt->finished = message;
    record->attempt->chunks.setEnd(message.chunkCount);
    finishWhenComplete(*record);
    // Otherwise chunks are missing: the next copy of the offer asks for them.
}

void entry_reducer::finishWhenComplete(request_record& record)
{
    auto& attempt = *record.attempt;
    if (!attempt.finished || !attempt.chunks.isComplete())
        return;
    const auto finished = *attempt.finished;
    m_effects->push_back(send_to_sidecar { attempt.address, acknowledge { { record.id, attempt.number }, attempt.sidecarIncarnation } });
    begin(record, finished.status, finished.contentType);
    if (record.kind == service_kind::plain)
        m_effects->push_back(append_answer { record.channel, record.deliveredText, 0 });
    m_effects->push_back(finish_answer { record.channel, finished.finishReason, finished.promptTokens, record.deliveredTokens });
    log(log_level::info, "request_finished", record, { { "upstream", attempt.upstreamId }, { "tokens", std::to_string(record.deliveredTokens) } });
    m_effects->push_back(count_metric { "kumquat_entry_finished_total", { { "class", record.requestClass.name } } });
    m_effects->push_back(observe_metric { "kumquat_total_seconds", { { "class", record.requestClass.name } }, seconds(m_now - record.arrivedAt) });
    attemptEnded(record);
    forget(record);
}

void entry_reducer::receive(const offer_failed& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    if (message.started)
        record->ran = ran_state::unknown;
    attemptEnded(*record);
    retryOrFail(*record, { .code = message.reason, .message = message.message, .ran = record->ran });
}

void entry_reducer::receive(const offer_withdrawn& message)
{
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    if (message.started)
        record->ran = ran_state::unknown;
    attemptEnded(*record);
    retryOrFail(*record, { .code = error_code::upstream_failed, .message = "the upstream cancelled the request", .ran = record->ran });
}

void entry_reducer::receive(const wrong_incarnation& message)
{
    auto* record = findCurrent(message.header);
    if (!record || message.namedIncarnation != record->attempt->sidecarIncarnation)
        return;
    // The predecessor may have run the attempt before it was replaced.
    record->ran = ran_state::unknown;
    attemptEnded(*record);
    retryOrFail(*record, { .code = error_code::outcome_unknown, .message = "the upstream's sidecar was replaced", .ran = record->ran });
}

void entry_reducer::receive(const report& message)
{
    m_directory.applyReport(message, m_now);
}

void entry_reducer::attemptEnded(request_record& record)
{
    if (!record.attempt)
        return;
    if (auto* upstream = m_directory.find(record.attempt->upstreamId); upstream && upstream->ownInFlight > 0)
        upstream->ownInFlight--;
    record.attempt.reset();
}

bool entry_reducer::mayRetry(const request_record& record) const
{
    if (record.begun || record.deliveredTokens > 0)
        return false;
    if (record.ran != ran_state::no && !record.requestClass.repeatable)
        return false;
    return record.attemptCount < m_options.maximumAttempts;
}

void entry_reducer::retryOrFail(request_record& record, caller_error error)
{
    if (!mayRetry(record)) {
        fail(record, std::move(error));
        return;
    }
    record.lastError = std::move(error);
    record.deliveredText.clear();
    m_effects->push_back(count_metric { "kumquat_entry_retries_total", { { "class", record.requestClass.name } } });
    dispatch(record);
}

void entry_reducer::fail(request_record& record, caller_error error)
{
    error.ran = record.ran;
    log(log_level::warning, "request_failed", record, { { "code", toString(error.code) }, { "ran", toString(error.ran) }, { "message", error.message } });
    m_effects->push_back(count_metric { "kumquat_entry_failed_total", { { "class", record.requestClass.name }, { "code", toString(error.code) } } });
    m_effects->push_back(fail_answer { record.channel, record.id, std::move(error) });
    forget(record);
}

void entry_reducer::forget(request_record& record)
{
    attemptEnded(record);
    m_timers.cancel(record.id);
    m_channels.erase(record.channel);
    m_requests.erase(std::string(record.id));
}

void entry_reducer::withdrawAttempt(request_record& record)
{
    if (!record.attempt)
        return;
    const auto& attempt = *record.attempt;
    const peer_identity self { m_options.id, m_options.address, m_options.incarnation };
    m_effects->push_back(send_to_sidecar { attempt.address, withdraw { self, { record.id, attempt.number }, attempt.sidecarIncarnation } });
}

void entry_reducer::onRequestTimer(request_record& record)
{
    if (m_now >= record.deadline) {
        withdrawAttempt(record);
        if (record.attempt)
            record.ran = ran_state::unknown;
        fail(record, { .code = error_code::timeout, .message = "the request exceeded its time limit" });
        return;
    }
    if (!record.attempt)
        return;
    if (record.attempt->unanswered < m_options.resendLimit) {
        sendOffer(record);
        return;
    }
    // A silent sidecar may still run the attempt.
    withdrawAttempt(record);
    record.ran = ran_state::unknown;
    const auto upstream = record.attempt->upstreamId;
    attemptEnded(record);
    retryOrFail(record, { .code = error_code::outcome_unknown, .message = "upstream '" + upstream + "' stopped answering" });
}

void entry_reducer::handle(const entry_document_received& event)
{
    if (event.contents->generation() <= generation())
        return;
    m_document = event.contents;
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

void entry_reducer::handle(const instances_listed& event)
{
    m_directory.applyList(event.instances);
    subscribeToAll();
}

void entry_reducer::subscribeToAll()
{
    const peer_identity self { m_options.id, m_options.address, m_options.incarnation };
    for (const auto& [id, upstream] : m_directory.all())
        m_effects->push_back(send_to_sidecar { upstream.address, subscribe { self, generation() } });
    m_nextSubscribe = m_now + m_options.subscribeInterval;
}

void entry_reducer::handle(const entry_drain_requested&)
{
    if (draining())
        return;
    m_listenDeadline = m_now + m_options.drainGrace;
    m_drainDeadline = m_now + m_options.drainLimit;
    m_effects->push_back(log_event { log_level::info, "drain_started", { { "requests", std::to_string(m_requests.size()) } } });
}

void entry_reducer::handle(const entry_timer_due&)
{
    while (const auto id = m_timers.popDue(m_now))
        onRequestTimer(m_requests.at(*id));
    if (m_nextSubscribe && *m_nextSubscribe <= m_now)
        subscribeToAll();
    if (m_listenDeadline && *m_listenDeadline <= m_now) {
        m_listenDeadline.reset();
        m_effects->push_back(stop_listening {});
    }
}

void entry_reducer::stopWhenDrained()
{
    if (!draining() || m_listenDeadline || m_stopped)
        return;
    if (!m_requests.empty() && m_now < *m_drainDeadline)
        return;
    m_stopped = true;
    m_effects->push_back(log_event { log_level::info, "drain_finished", { { "requests", std::to_string(m_requests.size()) } } });
    m_effects->push_back(stop_entry {});
}

void entry_reducer::log(log_level level, std::string name, const request_record& record, std::vector<std::pair<std::string, std::string>> more)
{
    log_event event { level, std::move(name), { { "request", record.id } } };
    event.fields.insert(event.fields.end(), more.begin(), more.end());
    m_effects->push_back(std::move(event));
}

} // namespace kumquat
