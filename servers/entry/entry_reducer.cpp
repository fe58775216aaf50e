#include "servers/entry/entry_reducer.h"

#include "core/hash.h"
#include "core/overloaded.h"
#include "core/request_id.h"
#include "servers/entry/classifier.h"
#include "servers/entry/expected_wait.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterNoUpstream { 1000 };
    // Lets the first arrivals of an organisation show how much it asks for.
    constexpr std::chrono::milliseconds firstLeaseDelay { 200 };
    // Size of one report on the wire, see docs/design/routing.md.
    constexpr std::size_t reportBytes = 200;
    // A sidecar takes an entry for dead that is silent for 10 s, so that one subscription may be lost.
    constexpr std::chrono::milliseconds longestSubscribeInterval { 4500 };
    // After so many unanswered copies of an offer the upstream gets new work only when all others are as silent.
    constexpr std::uint32_t unansweredLimit = 2;
    // A queued attempt is asked about less often than one whose chunks are missing.
    constexpr int queuedAskFactor = 4;
    // Upstreams that one request may cost the fleet.
    constexpr std::uint32_t crashLimit = 2;

    std::uint64_t fingerprintOf(const std::string& organisation, const std::string& service, const std::string& body)
    {
        return hashBytes(body, hashBytes(service, hashBytes(organisation)));
    }

    claim_options claimOptionsOf(const entry_options& options)
    {
        auto claims = options.claims;
        claims.self = { options.id, options.address, options.incarnation };
        return claims;
    }

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

} // namespace

entry_reducer::entry_reducer(entry_options options)
    : m_options(std::move(options))
    , m_keeper({ .self = { m_options.id, m_options.address, m_options.incarnation }, .dataCentre = m_options.dataCentre, .mayWatch = true, .bootstrapPeers = m_options.documentPeers })
    , m_directory(m_options.reportTimeout)
    , m_selector(m_options.policy, m_options.dataCentre, m_options.seed)
    , m_claims(claimOptionsOf(m_options))
    , m_random(m_options.seed)
    , m_withdrawals(m_options.resendInterval, m_options.resendLimit)
    , m_retryBudget(m_options.retryBudget)
    , m_retryBackoff(m_options.retryBackoff, m_options.seed)
    , m_suspects(m_options.suspects)
    , m_leaseGiver(m_options.leaseTime)
    , m_entryIds { m_options.id }
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
    for (const auto& candidate : { m_timers.nextDeadline(), m_withdrawals.nextDeadline(), m_nextSubscribe, m_nextLeaseRenewal, m_listenDeadline, m_drainDeadline, m_claims.nextDeadline(), m_keeper.nextDeadline() }) {
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
    const auto id = requestIdPrefix({ m_options.id, m_options.address, m_options.incarnation }) + std::to_string(m_nextRequest++);
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
    if (const auto limited = m_limiter.admit(*found.caller, m_entryIds.size(), m_now)) {
        reject(*limited);
        return;
    }
    if (!m_nextLeaseRenewal && m_entryIds.size() > 1)
        m_nextLeaseRenewal = m_now + firstLeaseDelay;
    request_record record;
    record.id = id;
    record.channel = event.channel;
    record.organisation = found.caller->name;
    record.limited = hasLimits(*found.caller);
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
        record.resumable = summary.resumable && record.requestClass.repeatable;
        record.maximumTokens = summary.maximumTokens;
        if (summary.maximumTokens > 0)
            record.expectedTokens = std::min(record.expectedTokens, summary.maximumTokens);
    }
    record.arrivedAt = m_now;
    record.deadline = m_now + m_options.requestTimeout;
    accept(std::move(record), event.request);
}

void entry_reducer::accept(request_record accepted, const caller_request& request)
{
    const auto id = accepted.id;
    m_channels.emplace(accepted.channel, id);
    auto& record = m_requests.emplace(id, std::move(accepted)).first->second;
    log(log_level::info, "request_accepted", record, { { "organisation", record.organisation }, { "class", record.requestClass.name }, { "service", record.service } });
    if (!record.requestClass.repeatable && !request.idempotencyKey.empty()) {
        claimKey(record, request);
        return;
    }
    dispatch(record);
}

void entry_reducer::dispatch(request_record& record)
{
    if (const auto refusedFor = m_suspects.refusedFor(record.fingerprint, m_now)) {
        fail(record, { .code = error_code::request_suspected, .message = "requests like this one have crashed upstreams", .retryAfter = refusedFor });
        return;
    }
    if (!claimSuspectTurn(record)) {
        m_timers.set(record.id, record.deadline);
        return;
    }
    auto* chosen = chooseUpstream(record);
    if (!chosen) {
        failUndeliverable(record);
        return;
    }
    startAttempt(record, *chosen);
}

upstream_state* entry_reducer::chooseUpstream(request_record& record)
{
    if (m_suspects.isSuspect(record.fingerprint, m_now))
        return upstream_selector::selectHome(m_directory.usable(record.service, m_now), record.fingerprint, record.tried);
    auto* chosen = std::holds_alternative<expected_wait_routing>(m_options.policy) ? chooseInWindows(record) : nullptr;
    if (!chosen)
        chosen = selectAmong(m_directory.usable(record.service, m_now), record);
    if (!chosen || record.refusals < m_options.refusalLimit)
        return chosen;
    const auto load = estimateLoad(*chosen, record.requestClass.tierRank, m_now);
    return load.hasRoom() || load.hasLowerWork() ? chosen : nullptr;
}

// Requests with the same beginning look at the same upstreams first, where it may be cached; then anywhere for room.
upstream_state* entry_reducer::chooseInWindows(const request_record& record)
{
    const bool followsPrefix = !record.prefixHashes.empty() && record.attemptCount == 0;
    const auto start = followsPrefix ? record.prefixHashes.front() : m_random();
    auto* chosen = selectAmong(m_directory.usableWindow(record.service, start, m_now), record);
    const auto hasRoom = [&](const upstream_state& upstream) { return estimateLoad(upstream, record.requestClass.tierRank, m_now).hasRoom(); };
    if (chosen && hasRoom(*chosen))
        return chosen;
    auto* other = selectAmong(m_directory.usableWindow(record.service, m_random(), m_now), record);
    return other && (!chosen || hasRoom(*other)) ? other : chosen;
}

upstream_state* entry_reducer::selectAmong(const std::vector<upstream_state*>& candidates, const request_record& record)
{
    return m_selector.select(candidates,
        { .service = record.service,
            .tierRank = record.requestClass.tierRank,
            .expectedTokens = record.expectedTokens,
            .prefixHashes = &record.prefixHashes,
            .tried = &record.tried,
            .refusedForLoad = record.refusals > 0 },
        m_now);
}

void entry_reducer::failUndeliverable(request_record& record)
{
    if (record.lastError) {
        auto error = *record.lastError;
        if (record.retryAfter)
            error.retryAfter = record.retryAfter;
        fail(record, std::move(error));
        return;
    }
    fail(record, { .code = error_code::no_upstream, .message = "no upstream of service '" + record.service + "' can take the request", .retryAfter = retryAfterNoUpstream });
}

void entry_reducer::startAttempt(request_record& record, upstream_state& upstream)
{
    record.tried.insert(upstream.id);
    record.attemptCount++;
    live_attempt attempt;
    attempt.number = record.attemptCount;
    attempt.upstreamId = upstream.id;
    attempt.address = upstream.address;
    attempt.sidecarIncarnation = upstream.lastReport->from.incarnation;
    attempt.suspect = m_suspects.isSuspect(record.fingerprint, m_now);
    attempt.prefixTokens = record.deliveredTokens;
    record.attempt = std::move(attempt);
    upstream.ownInFlight++;
    auto& sent = upstream.sentSinceReport[record.requestClass.tierRank];
    sent.requests++;
    sent.tokens += record.expectedTokens;
    upstream.prefixes.remember(record.prefixHashes);
    sendOffer(record);
}

void entry_reducer::sendOffer(request_record& record)
{
    auto& attempt = *record.attempt;
    attempt.copies++;
    attempt.unanswered++;
    offer message {
        .from = self(),
        .attempt = { record.id, attempt.number },
        .sidecarIncarnation = attempt.sidecarIncarnation,
        .tierRank = record.requestClass.tierRank,
        .className = record.requestClass.name,
        .organisation = record.organisation,
        .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(record.deadline - m_now),
        .expectedTokens = record.expectedTokens - std::min(record.expectedTokens, attempt.prefixTokens),
        .fingerprint = record.fingerprint,
        .repeatable = record.requestClass.repeatable,
        .suspect = attempt.suspect,
        .streaming = record.isShownEarly(),
        .nextChunk = attempt.chunks.nextChunk(),
        .deliveredPrefix = record.deliveredText,
        .deliveredTokens = attempt.prefixTokens,
        .job = record.job,
    };
    // A sidecar that has answered holds body and prefix; a copy only asks for its state.
    if (attempt.heardAt) {
        message.job.body.clear();
        message.deliveredPrefix.clear();
    }
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
    // A repeat with the same idempotency key may still ask for the answer.
    if (record.claimed) {
        m_channels.erase(found);
        record.channel = 0;
        return;
    }
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
    attempt->heardAt = m_now;
    if (auto* upstream = m_directory.find(attempt->upstreamId))
        upstream->unresponsive = false;
    return &found->second;
}

void entry_reducer::receive(const offer_refused& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    caller_error error { .code = message.reason, .message = message.message };
    if (message.retryAfter.count() > 0) {
        error.retryAfter = message.retryAfter;
        record->retryAfter = record->retryAfter ? std::min(*record->retryAfter, message.retryAfter) : message.retryAfter;
    }
    retryRefused(*record, std::move(error));
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
    record.deliveredText += piece.text;
    if (!record.isShownEarly())
        return;
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
    m_withdrawals.remove(message.header.attempt);
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
    record.status = finished.status;
    record.contentType = finished.contentType;
    // The engine counts the part that earlier attempts delivered as prompt.
    const auto promptTokens = finished.promptTokens - std::min(finished.promptTokens, attempt.prefixTokens);
    m_suspects.recordSurvival(record.fingerprint);
    m_retryBudget.addSuccess(record.service, m_now);
    log(log_level::info, "request_finished", record, { { "upstream", attempt.upstreamId }, { "tokens", std::to_string(record.deliveredTokens) } });
    complete(record, finished.finishReason, promptTokens);
}

void entry_reducer::complete(request_record& record, const std::string& finishReason, std::uint32_t promptTokens)
{
    if (!record.isShownEarly())
        m_effects->push_back(append_answer { record.channel, record.deliveredText, 0 });
    m_effects->push_back(finish_answer { record.channel, finishReason, promptTokens, record.deliveredTokens });
    storeOutcome(record, finishReason, promptTokens);
    m_effects->push_back(count_metric { "kumquat_entry_finished_total", { { "class", record.requestClass.name } } });
    m_effects->push_back(observe_metric { "kumquat_total_seconds", { { "class", record.requestClass.name } }, seconds(m_now - record.arrivedAt) });
    forget(record);
}

void entry_reducer::receive(const offer_failed& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    const caller_error error { .code = message.reason, .message = message.message };
    if (!message.started) {
        retryRefused(*record, error);
        return;
    }
    record->ran = ran_state::unknown;
    if (message.crashed) {
        handleCrash(*record, message);
        return;
    }
    retryFailed(*record, error);
}

void entry_reducer::handleCrash(request_record& record, const offer_failed& message)
{
    const auto fact = m_suspects.recordCrash(record.fingerprint, record.attempt->suspect, m_now);
    record.crashes++;
    log(log_level::warning, "upstream_crashed", record, { { "upstream", record.attempt->upstreamId }, { "suspect", record.attempt->suspect ? "true" : "false" } });
    tellEntries(fact);
    if (fact.refused || record.crashes >= crashLimit) {
        fail(record, { .code = error_code::request_suspected, .message = "the request was running at " + std::to_string(record.crashes) + " crashes of upstreams", .retryAfter = fact.timeLeft });
        return;
    }
    retryFailed(record, { .code = message.reason, .message = message.message });
}

void entry_reducer::tellEntries(const suspect_fact& fact)
{
    for (const auto& [id, address] : m_entryAddresses)
        m_effects->push_back(send_to_entry { address, suspect_notice { self(), { fact } } });
}

void entry_reducer::receive(const suspect_notice& message)
{
    for (const auto& fact : message.facts)
        m_suspects.learn(fact, m_now);
}

bool entry_reducer::claimSuspectTurn(const request_record& record)
{
    if (!m_suspects.isSuspect(record.fingerprint, m_now))
        return true;
    const auto [turn, isFree] = m_suspectTurns.try_emplace(record.fingerprint, record.id);
    if (isFree || turn->second == record.id)
        return true;
    m_suspectWaiters[record.fingerprint].push_back(record.id);
    return false;
}

void entry_reducer::passSuspectTurn(const request_record& record)
{
    const auto turn = m_suspectTurns.find(record.fingerprint);
    if (turn == m_suspectTurns.end() || turn->second != record.id)
        return;
    m_suspectTurns.erase(turn);
    const auto waiting = m_suspectWaiters.find(record.fingerprint);
    if (waiting == m_suspectWaiters.end())
        return;
    // All of them are due; the first claims the turn and the others wait again.
    for (const auto& id : waiting->second) {
        if (m_requests.contains(id))
            m_timers.set(id, m_now);
    }
    m_suspectWaiters.erase(waiting);
}

void entry_reducer::receive(const offer_withdrawn& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findCurrent(message.header);
    if (!record)
        return;
    if (record->attempt->settling) {
        settled(*record, message.started);
        return;
    }
    const caller_error error { .code = error_code::upstream_failed, .message = "the upstream cancelled the request" };
    if (!message.started) {
        retryRefused(*record, error);
        return;
    }
    record->ran = ran_state::unknown;
    retryFailed(*record, error);
}

void entry_reducer::receive(const wrong_incarnation& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findCurrent(message.header);
    if (!record || message.namedIncarnation != record->attempt->sidecarIncarnation)
        return;
    // The predecessor may have run the attempt before it was replaced.
    record->ran = ran_state::unknown;
    retryFailed(*record, { .code = error_code::outcome_unknown, .message = "the upstream's sidecar was replaced" });
}

void entry_reducer::receive(const report& message)
{
    m_directory.applyReport(message, m_now);
    m_suspects.learn(message, m_now);
    stepKeeper(peer_version_seen { message.from, { message.generation, message.documentHash } });
}

void entry_reducer::receive(const document_request& message)
{
    stepKeeper(message);
}

void entry_reducer::receive(const document_difference& message)
{
    stepKeeper(message);
}

void entry_reducer::receive(const document_whole& message)
{
    stepKeeper(message);
}

void entry_reducer::handle(const entry_keeper_event& event)
{
    stepKeeper(event.event);
}

void entry_reducer::stepKeeper(const keeper_event& event)
{
    keeper_effects effects;
    m_keeper.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_to_keeper& send) { m_effects->push_back(send_to_sidecar { std::move(send.address), std::move(send.message) }); },
        [this](adopt_document& adopt) { handle(entry_document_received { adopt.document->contents }); },
        [this](auto& other) { m_effects->push_back(std::move(other)); },
    };
    for (auto& effect : effects)
        std::visit(visitor, effect);
}

void entry_reducer::receive(const claim_query& message)
{
    stepClaims(claim_peer_received { message });
}

void entry_reducer::receive(const claim_status& message)
{
    stepClaims(claim_peer_received { message });
}

void entry_reducer::handle(const entry_claim_answered& event)
{
    stepClaims(event.answer);
}

void entry_reducer::claimKey(request_record& record, const caller_request& request)
{
    const auto fingerprint = hashBytes(request.path, hashBytes(request.method, record.fingerprint));
    stepClaims(claim_wanted { record.id, record.organisation + "/" + request.idempotencyKey, fingerprint, record.service });
}

// Keeps the whole answer of a claimed request for repeats of its key.
void entry_reducer::storeOutcome(const request_record& record, const std::string& finishReason, std::uint32_t promptTokens)
{
    if (!record.claimed)
        return;
    kept_answer answer { .whole = true, .status = record.status, .contentType = record.contentType, .text = record.deliveredText, .finishReason = finishReason, .promptTokens = promptTokens, .outputTokens = record.deliveredTokens };
    stepClaims(claimed_request_finished { record.id, std::move(answer) });
}

void entry_reducer::stepClaims(const claim_event& event)
{
    claim_effects effects;
    m_claims.step(event, m_now, effects);
    for (const auto& effect : effects)
        std::visit([this](const auto& concrete) { apply(concrete); }, effect);
}

void entry_reducer::apply(const claim_granted& effect)
{
    const auto found = m_requests.find(effect.requestId);
    // The caller has left while the claim was being made.
    if (found == m_requests.end()) {
        stepClaims(claimed_request_failed { effect.requestId, false });
        return;
    }
    found->second.claimed = true;
    dispatch(found->second);
}

void entry_reducer::apply(const claim_answered& effect)
{
    const auto found = m_requests.find(effect.requestId);
    if (found == m_requests.end())
        return;
    auto& record = found->second;
    const auto& kept = effect.answer;
    begin(record, kept.status, kept.contentType);
    m_effects->push_back(append_answer { record.channel, kept.text, kept.outputTokens });
    m_effects->push_back(finish_answer { record.channel, kept.finishReason, kept.promptTokens, kept.outputTokens });
    log(log_level::info, "request_answered_again", record);
    forget(record);
}

void entry_reducer::apply(const claim_denied& effect)
{
    const auto found = m_requests.find(effect.requestId);
    if (found == m_requests.end())
        return;
    found->second.ran = effect.error.ran;
    fail(found->second, effect.error);
}

void entry_reducer::apply(const send_claim_message& effect)
{
    m_effects->push_back(send_to_sidecar { effect.address, effect.message });
}

void entry_reducer::apply(const ask_sidecars& effect)
{
    for (const auto& [id, upstream] : m_directory.all()) {
        if (upstream.service == effect.service)
            m_effects->push_back(send_to_sidecar { upstream.address, effect.query });
    }
}

void entry_reducer::attemptEnded(request_record& record)
{
    if (!record.attempt)
        return;
    if (auto* upstream = m_directory.find(record.attempt->upstreamId); upstream && upstream->ownInFlight > 0)
        upstream->ownInFlight--;
    record.attempt.reset();
}

void entry_reducer::retryRefused(request_record& record, caller_error error)
{
    const bool isFinal = error.code == error_code::request_suspected;
    record.refusals++;
    attemptEnded(record);
    if (isFinal) {
        fail(record, std::move(error));
        return;
    }
    record.lastError = std::move(error);
    m_effects->push_back(count_metric { "kumquat_entry_retries_total", { { "class", record.requestClass.name }, { "after", "refusal" } } });
    dispatch(record);
}

void entry_reducer::retryFailed(request_record& record, caller_error error)
{
    record.failures++;
    attemptEnded(record);
    if (finishAtTokenLimit(record))
        return;
    if (!mayRepeat(record) || !m_retryBudget.take(record.service, m_now)) {
        fail(record, std::move(error));
        return;
    }
    prepareRepeat(record);
    record.lastError = std::move(error);
    m_effects->push_back(count_metric { "kumquat_entry_retries_total", { { "class", record.requestClass.name }, { "after", "failure" } } });
    m_timers.set(record.id, std::min(record.deadline, m_now + m_retryBackoff.draw(record.failures)));
}

bool entry_reducer::mayRepeat(const request_record& record) const
{
    if (record.ran != ran_state::no && !record.requestClass.repeatable)
        return false;
    if (record.begun && !record.resumable)
        return false;
    return record.failures < m_options.maximumAttempts;
}

void entry_reducer::prepareRepeat(request_record& record)
{
    if (!record.resumable) {
        record.deliveredText.clear();
        record.deliveredTokens = 0;
    }
    // An upstream that failed may be tried again, but after the others.
    const auto candidates = m_directory.usable(record.service, m_now);
    const bool triedAll = std::all_of(candidates.begin(), candidates.end(), [&](const auto* candidate) { return record.tried.contains(candidate->id); });
    if (triedAll)
        record.tried.clear();
}

// The stream broke behind the last token that the caller wants: only the end was lost.
bool entry_reducer::finishAtTokenLimit(request_record& record)
{
    if (!record.resumable || record.maximumTokens == 0 || record.deliveredTokens < record.maximumTokens)
        return false;
    begin(record, 200, "");
    complete(record, "length", 0);
    return true;
}

void entry_reducer::fail(request_record& record, caller_error error)
{
    error.ran = record.ran;
    if (record.claimed)
        stepClaims(claimed_request_failed { record.id, record.ran != ran_state::no });
    log(log_level::warning, "request_failed", record, { { "code", toString(error.code) }, { "ran", toString(error.ran) }, { "message", error.message } });
    m_effects->push_back(count_metric { "kumquat_entry_failed_total", { { "class", record.requestClass.name }, { "code", toString(error.code) } } });
    m_effects->push_back(fail_answer { record.channel, record.id, std::move(error) });
    forget(record);
}

void entry_reducer::forget(request_record& record)
{
    attemptEnded(record);
    passSuspectTurn(record);
    if (record.limited)
        m_limiter.release(record.organisation);
    m_timers.cancel(record.id);
    m_channels.erase(record.channel);
    m_requests.erase(std::string(record.id));
}

void entry_reducer::withdrawAttempt(const request_record& record)
{
    if (!record.attempt)
        return;
    const auto& attempt = *record.attempt;
    const withdraw message { self(), { record.id, attempt.number }, attempt.sidecarIncarnation };
    m_effects->push_back(send_to_sidecar { attempt.address, message });
    m_withdrawals.add(attempt.address, message, m_now);
}

void entry_reducer::resendWithdrawals()
{
    while (const auto pending = m_withdrawals.popDue(m_now))
        m_effects->push_back(send_to_sidecar { pending->address, pending->message });
}

void entry_reducer::onRequestTimer(request_record& record)
{
    if (record.attempt && record.attempt->settling) {
        settled(record, true);
        return;
    }
    if (m_now >= record.deadline) {
        giveUpAttempt(record, { .code = error_code::timeout, .message = "the request exceeded its time limit" });
        return;
    }
    if (!record.attempt) {
        dispatch(record);
        return;
    }
    const auto askAt = nextAskAt(*record.attempt);
    if (askAt > m_now) {
        m_timers.set(record.id, std::min(record.deadline, askAt));
        return;
    }
    auto* upstream = m_directory.find(record.attempt->upstreamId);
    if (upstream && record.attempt->unanswered >= unansweredLimit)
        upstream->unresponsive = true;
    if (record.attempt->unanswered < m_options.resendLimit) {
        sendOffer(record);
        return;
    }
    giveUpAttempt(record, { .code = error_code::outcome_unknown, .message = "upstream '" + record.attempt->upstreamId + "' stopped answering" });
}

// Returns when a sidecar that keeps silent from now on is asked about the attempt.
instant entry_reducer::nextAskAt(const live_attempt& attempt) const
{
    if (!attempt.heardAt || attempt.unanswered > 0)
        return m_now;
    const bool isQueued = !attempt.started;
    return *attempt.heardAt + m_options.resendInterval * (isQueued ? queuedAskFactor : 1);
}

void entry_reducer::giveUpAttempt(request_record& record, caller_error error)
{
    if (!record.attempt) {
        fail(record, std::move(error));
        return;
    }
    withdrawAttempt(record);
    // A request that may run again needs no certainty, and one that has started cannot get any.
    const bool needsTruth = !record.requestClass.repeatable && record.ran == ran_state::no;
    record.attempt->settling = std::move(error);
    if (!needsTruth) {
        settled(record, true);
        return;
    }
    m_timers.set(record.id, m_now + m_options.withdrawWait);
}

void entry_reducer::settled(request_record& record, bool mayHaveRun)
{
    auto error = std::move(*record.attempt->settling);
    if (mayHaveRun)
        record.ran = ran_state::unknown;
    if (m_now >= record.deadline) {
        fail(record, std::move(error));
        return;
    }
    if (mayHaveRun)
        retryFailed(record, std::move(error));
    else
        retryRefused(record, std::move(error));
}

void entry_reducer::handle(const entry_document_received& event)
{
    // The keeper decides between documents of one generation.
    if (event.contents->generation() < generation())
        return;
    m_document = event.contents;
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

void entry_reducer::handle(const instances_listed& event)
{
    m_instances = event.instances;
    stepKeeper(keeper_peers_listed { event.instances });
    m_entryAddresses.clear();
    m_entryIds = { m_options.id };
    for (const auto& item : event.instances) {
        if (item.role != "entry" || item.id == m_options.id || item.leaving)
            continue;
        m_entryIds.push_back(item.id);
        m_entryAddresses.emplace(item.id, item.address);
    }
    subscribeToAll();
}

void entry_reducer::renewLeases()
{
    const auto demands = m_limiter.takeDemands(m_now);
    m_leaseGiver.forgetExpired(m_now);
    std::map<std::string, std::vector<lease_demand>> byKeeper;
    for (const auto& demand : demands)
        byKeeper[keeperOf(demand.organisation, m_entryIds)].push_back(demand);
    for (const auto& [keeper, wanted] : byKeeper) {
        if (keeper == m_options.id)
            receive(answerDemands(keeper, wanted));
        else
            m_effects->push_back(send_to_entry { m_entryAddresses.at(keeper), lease_request { self(), wanted } });
    }
    m_nextLeaseRenewal.reset();
    if (!demands.empty())
        m_nextLeaseRenewal = m_now + m_options.leaseTime / 2;
}

lease_grant entry_reducer::answerDemands(const std::string& entryId, const std::vector<lease_demand>& demands)
{
    lease_grant grant { .from = self(), .validFor = m_options.leaseTime };
    for (const auto& demand : demands) {
        const auto* keptFor = m_document ? m_document->findOrganisation(demand.organisation) : nullptr;
        // Entries whose lists differ for a moment may name two keepers; only the one that this entry sees grants.
        if (keptFor && keeperOf(demand.organisation, m_entryIds) == m_options.id)
            grant.shares.push_back(m_leaseGiver.grant(*keptFor, entryId, demand, m_entryIds.size(), m_now));
    }
    return grant;
}

void entry_reducer::receive(const lease_request& message)
{
    auto grant = answerDemands(message.from.id, message.demands);
    if (!grant.shares.empty())
        m_effects->push_back(send_to_entry { message.from.address, std::move(grant) });
}

void entry_reducer::receive(const lease_grant& message)
{
    for (const auto& share : message.shares)
        m_limiter.applyShare(share, message.validFor, m_now);
}

void entry_reducer::refreshSubset()
{
    subset_request request {
        .entryId = m_options.id,
        .dataCentre = m_options.dataCentre,
        .entryCount = m_entryAddresses.size() + 1,
        .silent = m_directory.silent(m_now),
        .options = m_options.subset,
    };
    auto used = chooseSubset(m_instances, request);
    // Silent ones may return, and leaving ones may still run requests of ours.
    for (const auto& item : m_instances) {
        const bool isExtra = item.leaving || request.silent.contains(item.id);
        if (item.role == "sidecar" && isExtra && m_directory.find(item.id))
            used.push_back(item);
    }
    m_directory.applyList(used, m_now);
    constexpr int reportsUntilSilent = 3;
    m_directory.setReportTimeout(std::max(m_options.reportTimeout, reportInterval() * reportsUntilSilent));
}

std::chrono::milliseconds entry_reducer::reportInterval() const
{
    const std::chrono::milliseconds affordable { m_directory.all().size() * reportBytes * 1000 / std::max(1U, m_options.reportBytesPerSecond) };
    return std::max(m_options.subscribeInterval, affordable);
}

void entry_reducer::subscribeToAll()
{
    refreshSubset();
    const auto interval = reportInterval();
    for (const auto& [id, upstream] : m_directory.all())
        m_effects->push_back(send_to_sidecar { upstream.address, subscribe { self(), generation(), m_keeper.version().hash, interval } });
    m_nextSubscribe = m_now + std::min(interval, longestSubscribeInterval);
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
    stepKeeper(keeper_timer_due {});
    while (const auto id = m_timers.popDue(m_now))
        onRequestTimer(m_requests.at(*id));
    stepClaims(claim_timer_due {});
    resendWithdrawals();
    if (m_nextLeaseRenewal && *m_nextLeaseRenewal <= m_now)
        renewLeases();
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
    const bool isBusy = !m_requests.empty() || m_claims.unstoredAnswers() > 0;
    if (isBusy && m_now < *m_drainDeadline)
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
