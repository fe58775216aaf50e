#include "servers/entry/entry_reducer.h"

#include "core/hash.h"
#include "core/request_id.h"
#include "servers/entry/classifier.h"
#include "servers/entry/expected_wait.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterNoUpstream { 1000 };
    // Delay of the first lease request after an arrival, so that it states a measured demand instead of a single arrival.
    constexpr std::chrono::milliseconds initialLeaseDelay { 200 };

    std::uint64_t fingerprintOf(const std::string& organisation, const std::string& service, const std::string& body)
    {
        return hashBytes(body, hashBytes(service, hashBytes(organisation)));
    }

} // namespace

void entry_reducer::handle(const caller_arrived& event)
{
    const auto id = requestIdPrefix({ m_options.id, m_options.address, m_options.incarnation }) + std::to_string(m_nextRequest++);
    const auto reject = [&](const caller_error& error) {
        m_effects->push_back(fail_answer { event.channel, id, error });
        m_effects->push_back(log_event { log_level::info, "request_rejected", { { "request", id }, { "code", toString(error.code) }, { "message", error.message } } });
        m_effects->push_back(count_metric { "kumquat_entry_rejected_total", { { "code", toString(error.code) } } });
    };
    if (!m_document) {
        reject({ .code = error_code::not_configured, .message = "the entry has no configuration document yet", .retryAfter = retryAfterNoUpstream });
        return;
    }
    const auto outcome = classify(*m_document, event.request);
    if (const auto* error = std::get_if<caller_error>(&outcome)) {
        reject(*error);
        return;
    }
    const auto& match = std::get<classification>(outcome);
    if (const auto limitError = m_limiter.admit(*match.caller, m_entryIds.size(), m_now)) {
        reject(*limitError);
        return;
    }
    if (!m_nextLeaseRenewal && m_entryIds.size() > 1)
        m_nextLeaseRenewal = m_now + initialLeaseDelay;
    request_record record;
    record.id = id;
    record.channel = event.channel;
    record.organisation = match.caller->name;
    record.countsAgainstLimits = hasLimits(*match.caller);
    record.requestClass = *match.requestClass;
    record.service = match.target->name;
    record.kind = match.target->kind;
    record.format = event.request.format;
    record.job = { .service = record.service, .kind = record.kind, .method = event.request.method, .path = match.upstreamPath, .contentType = event.request.contentType, .body = event.request.body };
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

void entry_reducer::accept(request_record newRecord, const caller_request& request)
{
    const auto id = newRecord.id;
    m_channels.emplace(newRecord.channel, id);
    auto& record = m_requests.emplace(id, std::move(newRecord)).first->second;
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
        failRequest(record, { .code = error_code::request_suspected, .message = "requests like this one have crashed upstreams", .retryAfter = refusedFor });
        return;
    }
    if (!acquireSuspectLock(record)) {
        m_timers.set(record.id, record.deadline);
        return;
    }
    auto* selected = selectUpstream(record);
    if (!selected) {
        failUndeliverable(record);
        return;
    }
    startAttempt(record, *selected);
}

upstream_state* entry_reducer::selectUpstream(request_record& record)
{
    if (m_suspects.isSuspect(record.fingerprint, m_now))
        return upstream_selector::selectByFingerprint(m_directory.usable(record.service, m_now), record.fingerprint, record.triedUpstreams);
    auto* selected = std::holds_alternative<expected_wait_routing>(m_options.policy) ? selectFromWindows(record) : nullptr;
    if (!selected)
        selected = selectUntried(m_directory.usable(record.service, m_now), record);
    if (!selected || record.refusals < m_options.refusalLimit)
        return selected;
    const auto load = estimateLoad(*selected, record.requestClass.tierRank, m_now);
    return load.hasFreeSlot() || load.hasLowerTierWork() ? selected : nullptr;
}

// Selects from a window of the service's upstreams, so that the cost does not grow with the service. The first attempt of a
// request starts at a window that its prompt prefix determines: requests with the same prefix see the same upstreams, which
// may have it cached. If the selected upstream has no free slot, a second window at a random position is tried.
upstream_state* entry_reducer::selectFromWindows(const request_record& record)
{
    const bool followsPrefix = !record.prefixHashes.empty() && record.attemptCount == 0;
    const auto start = followsPrefix ? record.prefixHashes.front() : m_random();
    auto* selected = selectUntried(m_directory.usableWindow(record.service, start, m_now), record);
    const auto hasFreeSlot = [&](const upstream_state& upstream) { return estimateLoad(upstream, record.requestClass.tierRank, m_now).hasFreeSlot(); };
    if (selected && hasFreeSlot(*selected))
        return selected;
    auto* other = selectUntried(m_directory.usableWindow(record.service, m_random(), m_now), record);
    return other && (!selected || hasFreeSlot(*other)) ? other : selected;
}

upstream_state* entry_reducer::selectUntried(const std::vector<upstream_state*>& candidates, const request_record& record)
{
    return m_selector.select(candidates,
        { .service = record.service,
            .tierRank = record.requestClass.tierRank,
            .expectedTokens = record.expectedTokens,
            .prefixHashes = &record.prefixHashes,
            .triedUpstreams = &record.triedUpstreams,
            .refusedForLoad = record.refusals > 0 },
        m_now);
}

void entry_reducer::failUndeliverable(request_record& record)
{
    if (record.lastError) {
        auto error = *record.lastError;
        if (record.retryAfter)
            error.retryAfter = record.retryAfter;
        failRequest(record, std::move(error));
        return;
    }
    failRequest(record, { .code = error_code::no_upstream, .message = "no upstream of service '" + record.service + "' can take the request", .retryAfter = retryAfterNoUpstream });
}

void entry_reducer::startAttempt(request_record& record, upstream_state& upstream)
{
    record.triedUpstreams.insert(upstream.id);
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
    auto& unreported = upstream.unreportedLoad[record.requestClass.tierRank];
    unreported.requests++;
    unreported.tokens += record.expectedTokens;
    upstream.prefixCache.addPrompt(record.prefixHashes);
    sendOffer(record);
}

void entry_reducer::sendOffer(request_record& record)
{
    auto& attempt = *record.attempt;
    attempt.copies++;
    attempt.unansweredCopies++;
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
        .streaming = record.isStreamed(),
        .nextChunk = attempt.chunks.nextChunk(),
        .deliveredPrefix = record.deliveredText,
        .deliveredTokens = attempt.prefixTokens,
        .job = record.job,
        .waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - record.arrivedAt),
    };
    // A sidecar that has answered has received body and prefix; this copy only requests the state of the attempt.
    if (attempt.lastReceivedAt) {
        message.job.body.clear();
        message.deliveredPrefix.clear();
    }
    m_effects->push_back(send_to_sidecar { attempt.address, std::move(message) });
    m_timers.set(record.id, std::min(record.deadline, m_now + m_options.resendInterval));
}

} // namespace kumquat
