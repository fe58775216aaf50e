#include "servers/router/router_reducer.h"

#include <algorithm>
#include <utility>

namespace kumquat::router {

namespace {

    // The limit on attempts of one request, whatever their outcome.
    constexpr int maxAttemptsPerRequest = 4;
    // No attempt is started with less time than this before the deadline.
    constexpr auto minTimeLeft = std::chrono::milliseconds(30);
    // The deadline that an upstream receives is this long before that of the router, so that its answer arrives in time.
    constexpr auto upstreamDeadlineMargin = std::chrono::milliseconds(15);
    // A repeatable request is hedged, that is, sent to a second upstream as well, when this share of its latency target has
    // passed without an answer.
    constexpr double hedgeDelayShare = 0.6;
    constexpr auto initialBackoff = std::chrono::milliseconds(250);
    constexpr int maxBackoffDoublings = 4;
    // The back-off after an upstream has refused a request because it is busy.
    constexpr auto refusalBackoff = std::chrono::milliseconds(60);

} // namespace

bool router_reducer::dispatch(request_progress& progress, const char* cause)
{
    if (progress.deadline - m_now < minTimeLeft || (m_shutdown && !m_shutdown->mayStartAttempts(m_now)) || refuseSuspect(progress))
        return false;
    const placement_policy policy = progress.targetsEngine && progress.matchedRoute->usesPromptCache ? m_options.enginePlacement : least_in_flight {};
    const placement_request request {
        .upstreams = m_upstreams.ofService(progress.service),
        .callerRequest = *progress.request,
        .excluded = progress.triedUpstreams,
        .dataCentre = m_options.settings.dataCentre,
        .peers = m_peers,
        .now = m_now,
        .version = progress.requiredVersion,
        .reservedShare = m_gapProtection.reservedShare(progress.service, m_now),
        .isGapSensitive = progress.isGapSensitive,
        .isAdditional = !progress.attempts.empty(),
    };
    const auto selected = place(policy, request);
    if (!selected.upstream) {
        log(log_level::warning, "no_upstream", { { "request", progress.request->requestId }, { "service", progress.service }, { "version_required", progress.requiredVersion ? "yes" : "no" }, { "known", std::to_string(m_upstreams.ofService(progress.service).size()) }, { "tried", std::to_string(progress.triedUpstreams.size()) }, { "records", toString(positionOf(m_upstreamWatcher.revision())) } });
        return false;
    }
    if (!admitToLimited(progress, selected)) {
        log(log_level::info, "request_yields", { { "request", progress.request->requestId }, { "service", progress.service }, { "urgency", std::to_string(progress.urgency) } });
        return false;
    }
    startAttempt(progress, selected, cause);
    return true;
}

void router_reducer::startAttempt(request_progress& progress, const placement& selected, const char* cause)
{
    auto& upstream = *selected.upstream;
    const auto number = ++m_lastId;
    logResumption(progress);
    logSuspectedRequest(progress, upstream);
    log(log_level::info, "request_sent",
        { { "request", progress.request->requestId }, { "route", progress.matchedRoute->name }, { "organisation", progress.organisation }, { "urgency", std::to_string(progress.urgency) }, { "upstream", upstream.record.id },
            { "version", upstream.record.version }, { "cause", cause }, { "by", selected.reason }, { "candidates", std::to_string(selected.candidates) }, { "in_flight", std::to_string(upstream.inFlight) },
            { "record", toString(upstream.position) }, { "record_age_ms", formatMilliseconds(m_now - upstream.readAt) }, { "config", std::to_string(progress.config->version) }, { "left_ms", formatMilliseconds(progress.deadline - m_now) } });
    if (upstream.quota)
        upstream.quota->bucket.take(m_now);
    ++upstream.inFlight;
    ++progress.attemptCount;
    progress.triedUpstreams.push_back(upstream.record.id);
    upstream.uncachedPromptTokens += selected.uncachedPromptTokens;
    if (progress.targetsEngine)
        recordPromptPlacement(upstream, progress);
    progress.attempts.push_back({ number, selected.upstream, m_now, selected.uncachedPromptTokens });
    m_attemptCallers.emplace(number, progress.caller);
    start_attempt effect;
    effect.attemptNumber = number;
    effect.target = upstream.record.address;
    effect.request = progress.request;
    effect.upstreamId = upstream.record.id;
    effect.organisation = progress.organisation;
    effect.timeLeft = progress.deadline - m_now - upstreamDeadlineMargin;
    effect.urgency = progress.urgency;
    effect.resumeAfter = progress.stream.lastId();
    effect.targetsEngine = progress.targetsEngine;
    effect.requiredStartUnixMs = requiredStart(progress, upstream);
    effect.mayBeUnidentified = !progress.requiredVersion;
    effect.mayBeLost = progress.matchedRoute->repeatable() && progress.mayHaveRunCount + 1 < progress.matchedRoute->maxAttempts && progress.attemptCount < maxAttemptsPerRequest;
    progress.attempts.back().identifiesUpstream = effect.requiredStartUnixMs.has_value();
    emit(std::move(effect));
    if (progress.matchedRoute->repeatable() && !progress.matchedRoute->streaming && progress.attempts.size() == 1)
        setTimer(timer_kind::hedge, progress.caller, m_now + std::chrono::duration_cast<duration>(progress.matchedRoute->latencyTarget * hedgeDelayShare));
}

void router_reducer::logResumption(const request_progress& progress)
{
    const auto lastEvent = progress.stream.lastId() ? progress.stream.lastId() : progress.request->lastEventId;
    if (!lastEvent)
        return;
    const auto& named = progress.request->resumedRequestId;
    const auto confirmed = recordsConfirmedAt();
    log(log_level::info, "stream_resumed",
        { { "request", progress.request->requestId }, { "first_request", named.empty() ? "unnamed" : named }, { "after_event", std::to_string(*lastEvent) },
            { "records_age_ms", confirmed ? formatMilliseconds(m_now - *confirmed) : "never" } });
}

void router_reducer::recordPromptPlacement(upstream_state& upstream, const request_progress& progress)
{
    const auto& prompt = progress.request->prompt;
    upstream.promptCache.recordPrompt(prompt, promptCacheBounds(progress.service));
    // The last part belongs to this request alone, so other routers have no use for it.
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        m_recentCachedParts.add({ upstream.key, prompt.parts[index].id, prompt.parts[index].tokens });
}

void router_reducer::hedge(request_progress& progress)
{
    if (progress.attempts.size() != 1 || progress.attempts.front().answer || progress.mayHaveRunCount + 1 >= progress.matchedRoute->maxAttempts || progress.attemptCount >= maxAttemptsPerRequest)
        return;
    if (!m_retryLimiter.takeRetry(progress.service, m_now))
        return;
    dispatch(progress, "no_answer_yet");
}

bool router_reducer::mayRetry(const request_progress& progress, attempt_end outcome) const
{
    if (progress.attemptCount >= maxAttemptsPerRequest || progress.deadline - m_now < minTimeLeft)
        return false;
    if (progress.mayHaveRun() && !progress.matchedRoute->repeatable())
        return false;
    const bool canGoOn = !progress.bodyForwarded && progress.stream.canGoOn();
    if (!canGoOn || (progress.mayHaveRun() && mayCrashUpstream(progress)))
        return false;
    return outcome != attempt_end::may_have_run || progress.mayHaveRunCount < progress.matchedRoute->maxAttempts;
}

void router_reducer::recordFailure(upstream_state& upstream, attempt_end outcome)
{
    if (outcome == attempt_end::not_run) {
        upstream.backoffUntil = std::max(upstream.backoffUntil, m_now + refusalBackoff);
        return;
    }
    const auto doublings = std::min(upstream.consecutiveFailures, maxBackoffDoublings);
    ++upstream.consecutiveFailures;
    // A single answer that broke off is weak evidence that the upstream is down; a failed connection is strong evidence.
    if (outcome == attempt_end::may_have_run && doublings == 0)
        return;
    upstream.backoffUntil = std::max(upstream.backoffUntil, m_now + initialBackoff * (1 << doublings));
    log(log_level::warning, "upstream_avoided", { { "upstream", upstream.record.id }, { "failures", std::to_string(upstream.consecutiveFailures) }, { "for_ms", formatMilliseconds(upstream.backoffUntil - m_now) } });
}

void router_reducer::failAttempt(request_progress& progress, attempt_number number, attempt_end outcome, const std::string& reason)
{
    const auto position = std::find_if(progress.attempts.begin(), progress.attempts.end(), [number](const active_attempt& item) { return item.number == number; });
    // Keeps the upstream alive beyond the attempt, which is removed below.
    const auto upstreamOwner = position->upstream;
    auto& upstream = *upstreamOwner;
    recordFailure(upstream, outcome);
    if (outcome == attempt_end::may_have_run)
        ++progress.mayHaveRunCount;
    // A stream runs from its first event on, which has been recorded.
    if (outcome == attempt_end::may_have_run && !progress.matchedRoute->streaming)
        recordRun(progress, *position, position->startedAt);
    static constexpr const char* outcomeNames[] = { "never_sent", "not_run", "may_have_run" };
    const char* outcomeName = outcomeNames[static_cast<int>(outcome)];
    log(log_level::warning, "send_failed", { { "request", progress.request->requestId }, { "upstream", upstream.record.id }, { "outcome", outcomeName }, { "reason", reason }, { "after_ms", formatMilliseconds(m_now - position->startedAt) }, { "sends", std::to_string(progress.attemptCount) }, { "parts", formatSharedParts(progress) } });
    emit(count_metric { "kumquat_router_failed_sends_total", { { "outcome", outcomeName } } });
    removeAttempt(progress, number);
    if (!progress.attempts.empty())
        return;
    // A partial event belongs to the attempt that failed, and must not be joined to the events of the next one.
    progress.stream.beginAttempt();
    if (!mayRetry(progress, outcome) || !m_retryLimiter.takeRetry(progress.service, m_now))
        return answerWithFailure(progress);
    if (dispatch(progress, progress.replyStarted ? "resume" : "retry"))
        return;
    if (progress.replyStarted)
        return awaitResumptionOrFail(progress);
    answerWithFailure(progress);
}

// Subtracts an attempt from the load of its upstream.
void router_reducer::releaseLoad(const active_attempt& attempt)
{
    auto& upstream = *attempt.upstream;
    --upstream.inFlight;
    upstream.uncachedPromptTokens -= attempt.uncachedPromptTokens;
    if (attempt.streaming)
        --upstream.streams;
}

void router_reducer::removeAttempt(request_progress& progress, attempt_number number)
{
    const auto position = std::find_if(progress.attempts.begin(), progress.attempts.end(), [number](const active_attempt& item) { return item.number == number; });
    releaseLoad(*position);
    progress.attempts.erase(position);
    m_attemptCallers.erase(number);
}

void router_reducer::recordRun(const request_progress& progress, active_attempt& attempt, instant startedAt)
{
    if (progress.organisation.empty() || std::exchange(attempt.runIsRecorded, true))
        return;
    emit(record_run { progress.organisation, startedAt });
}

void router_reducer::cancelAttempts(request_progress& progress)
{
    // No attempt has the number 0.
    cancelOtherAttempts(progress, 0);
}

void router_reducer::cancelOtherAttempts(request_progress& progress, attempt_number kept)
{
    for (auto& attempt : std::vector<active_attempt>(progress.attempts)) {
        if (attempt.number == kept)
            continue;
        if (!progress.matchedRoute->streaming)
            recordRun(progress, attempt, attempt.startedAt);
        removeAttempt(progress, attempt.number);
        emit(cancel_attempt { attempt.number });
    }
}

active_attempt* router_reducer::findAttempt(request_progress& progress, attempt_number number)
{
    const auto found = std::find_if(progress.attempts.begin(), progress.attempts.end(), [number](const active_attempt& item) { return item.number == number; });
    return found == progress.attempts.end() ? nullptr : &*found;
}

request_progress* router_reducer::findByAttempt(attempt_number number)
{
    const auto owner = m_attemptCallers.find(number);
    if (owner == m_attemptCallers.end())
        return nullptr;
    const auto found = m_requests.find(owner->second);
    return found == m_requests.end() ? nullptr : &found->second;
}

void router_reducer::on(attempt_aborted&& aborted)
{
    auto* progress = findByAttempt(aborted.attemptNumber);
    if (!progress)
        return;
    const auto upstream = findAttempt(*progress, aborted.attemptNumber)->upstream;
    const bool brokeOff = aborted.requestSent && !aborted.endedAtMemoryBound;
    if (aborted.connectionDropped)
        recordDroppedConnection(*upstream);
    if (brokeOff)
        recordBrokenAttempt(*progress, *findAttempt(*progress, aborted.attemptNumber));
    if (aborted.outcome == connection_outcome::refused)
        recordRefusedConnection(*upstream);
    // The crash may have ended the request as a refused one.
    if (!findByAttempt(aborted.attemptNumber))
        return;
    failAttempt(*progress, aborted.attemptNumber, aborted.requestSent ? attempt_end::may_have_run : attempt_end::never_sent, aborted.reason + (aborted.connectionDropped ? ", on a connection that had rested" : ""));
}

} // namespace kumquat::router
