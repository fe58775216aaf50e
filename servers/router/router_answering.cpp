#include "servers/router/answer_status.h"
#include "servers/router/router_reducer.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // Larger answers are passed on to the caller before they are complete.
    constexpr std::size_t maxBufferedAnswerBytes = 1024 * 1024;
    // While memory is short, those beyond this size are. Ordinary answers are smaller and can still be retried.
    constexpr std::size_t maxBufferedAnswerBytesIfShort = 16 * 1024;
    // An upstream that sends more bytes without the end of an event sends no event stream.
    constexpr std::size_t maxEventBytes = 1024 * 1024;
    // A larger error answer is not kept beside a retry, since no account holds it once its attempt has ended.
    constexpr std::size_t maxKeptFailureBytes = 16 * 1024;
    constexpr std::string_view eventStreamType = "text/event-stream";

    bool isEventStream(const upstream_answer& answer)
    {
        const auto* type = findHeader(answer.head.headers, "Content-Type");
        return type && type->starts_with(eventStreamType);
    }

} // namespace

void router_reducer::on(answer_started&& started)
{
    auto* progress = findByAttempt(started.attemptNumber);
    if (!progress)
        return;
    auto& attempt = *findAttempt(*progress, started.attemptNumber);
    const auto& answer = started.answer;
    acceptStatements(*attempt.upstream, answer);
    if (answer.wrongUpstream) {
        attempt.upstream->staleAddress = true;
        log(log_level::warning, "upstream_misdirected", { { "upstream", attempt.upstream->record.id }, { "address", formatEndpoint(attempt.upstream->record.address) }, { "record", toString(attempt.upstream->position) } });
    }
    if (answer.notRun || answer.wrongUpstream) {
        const auto number = attempt.number;
        emit(cancel_attempt { number });
        return failAttempt(*progress, number, attempt_end::not_run, "status " + std::to_string(answer.head.status));
    }
    if (isSuccess(answer.head.status) && !answer.hasSignature) {
        const auto number = attempt.number;
        emit(cancel_attempt { number });
        return failAttempt(*progress, number, attempt_end::may_have_run, "success status without the upstream's signature");
    }
    attempt.answer = std::move(started.answer);
    const bool isStream = progress->request->method != "HEAD" && isSuccess(attempt.answer->head.status) && isEventStream(*attempt.answer);
    attempt.forwardsEvents = isStream && progress->matchedRoute->streaming;
    if (attempt.forwardsEvents)
        return onStreamHead(*progress, attempt);
    if (isStream && attempt.answer->head.endsWithConnection)
        attempt.eventBoundary.emplace();
}

void router_reducer::onStreamHead(request_progress& progress, active_attempt& attempt)
{
    attempt.upstream->consecutiveFailures = 0;
    emit(observe_metric { "kumquat_router_head_seconds", { { "route", progress.matchedRoute->name } }, std::chrono::duration<double>(m_now - attempt.startedAt).count() });
}

void router_reducer::on(answer_continued&& continued)
{
    auto* progress = findByAttempt(continued.attemptNumber);
    if (!progress)
        return;
    auto& attempt = *findAttempt(*progress, continued.attemptNumber);
    if (!attempt.answer)
        return;
    if (attempt.eventBoundary)
        attempt.eventBoundary->feed(continued.bytes);
    if (attempt.forwardsBody)
        return emit(append_reply { progress->caller, std::move(continued.bytes), attempt.number });
    if (!attempt.forwardsEvents) {
        attempt.body += continued.bytes;
        const bool passesOnEarly = continued.memoryIsShort && isSuccess(attempt.answer->head.status) && !progress->replyStarted;
        if (attempt.body.size() > (passesOnEarly ? maxBufferedAnswerBytesIfShort : maxBufferedAnswerBytes))
            onLargeAnswer(*progress, attempt.number);
        return;
    }
    auto events = progress->stream.feed(continued.bytes);
    if (!events.empty())
        forwardEvents(*progress, attempt, std::move(events));
    else
        emit(keep_partial_event { attempt.number, progress->stream.partialEventBytes() });
    if (const auto* mismatch = progress->stream.mismatch())
        return abandonAttempt(*progress, attempt.number, mismatch);
    if (progress->stream.partialEventBytes() > maxEventBytes)
        abandonAttempt(*progress, attempt.number, "an event of more than " + std::to_string(maxEventBytes) + " bytes");
}

void router_reducer::forwardEvents(request_progress& progress, active_attempt& attempt, std::string events)
{
    if (!attempt.streaming) {
        attempt.streaming = true;
        ++attempt.upstream->streams;
        attempt.upstream->uncachedPromptTokens -= attempt.uncachedPromptTokens;
        attempt.uncachedPromptTokens = 0;
        recordRun(progress, attempt, m_now);
    }
    if (!progress.replyStarted) {
        progress.firstEventAt = m_now;
        beginStream(progress, attempt);
        startReply(progress, attempt);
        emit(observe_metric { "kumquat_router_first_event_seconds", { { "route", progress.matchedRoute->name } }, std::chrono::duration<double>(m_now - progress.arrivedAt).count() });
    }
    if (progress.lastEventAt)
        progress.longestEventGap = std::max(progress.longestEventGap, m_now - *progress.lastEventAt);
    progress.lastEventAt = m_now;
    noteEvents(progress, attempt);
    emit(append_reply { progress.caller, std::move(events), attempt.number, progress.stream.partialEventBytes() });
}

void router_reducer::startReply(request_progress& progress, const active_attempt& attempt)
{
    progress.replyStarted = true;
    auto head = attempt.answer->head;
    head.contentLength.reset();
    emit(start_reply { progress.caller, std::move(head) });
}

// A large answer is passed on as it arrives, so that its size needs no memory. It can't be retried from then on.
void router_reducer::onLargeAnswer(request_progress& progress, attempt_number number)
{
    const auto status = findAttempt(progress, number)->answer->head.status;
    if (status >= statusInternalServerError || impliesNotRun(status) || progress.replyStarted)
        return abandonAttempt(progress, number, "status " + std::to_string(status) + " with more than " + std::to_string(maxBufferedAnswerBytes) + " bytes");
    cancelOtherAttempts(progress, number);
    auto& attempt = *findAttempt(progress, number);
    attempt.forwardsBody = true;
    progress.bodyForwarded = true;
    startReply(progress, attempt);
    emit(append_reply { progress.caller, std::exchange(attempt.body, {}), number });
}

void router_reducer::abandonAttempt(request_progress& progress, attempt_number number, const std::string& reason)
{
    emit(cancel_attempt { number });
    failAttempt(progress, number, attempt_end::may_have_run, reason);
}

void router_reducer::on(answer_ended&& ended)
{
    auto* progress = findByAttempt(ended.attemptNumber);
    if (!progress)
        return;
    const auto& attempt = *findAttempt(*progress, ended.attemptNumber);
    if (!attempt.answer)
        return failAttempt(*progress, ended.attemptNumber, attempt_end::may_have_run, "the connection ended without an answer");
    if (attempt.forwardsEvents)
        return onStreamEnd(*progress, ended.attemptNumber);
    if (attempt.eventBoundary && !attempt.eventBoundary->isBetweenEvents())
        return onTruncatedEvents(*progress, ended.attemptNumber);
    if (attempt.forwardsBody)
        return completeReply(*progress, ended.attemptNumber);
    onCompleteAnswer(*progress, ended.attemptNumber);
}

// A stream without a length that ends inside an event has been broken off, whatever the kind of its route.
void router_reducer::onTruncatedEvents(request_progress& progress, attempt_number number)
{
    recordBrokenAttempt(progress, *findAttempt(progress, number));
    // The crash may have ended the request as a refused one.
    if (findByAttempt(number))
        failAttempt(progress, number, attempt_end::may_have_run, "the answer ended inside an event");
}

void router_reducer::onStreamEnd(request_progress& progress, attempt_number number)
{
    auto& attempt = *findAttempt(progress, number);
    // The end of the connection may be the end of the stream or a crash of the upstream.
    const bool endedByConnection = attempt.answer->head.endsWithConnection;
    const bool isIncomplete = !progress.stream.isComplete(!endedByConnection, progress.resumesEarlier());
    if (isIncomplete || (endedByConnection && !attempt.answersSoundly))
        recordBrokenAttempt(progress, attempt);
    else if (endedByConnection)
        addBrokenAttempt(*attempt.upstream, describeBroken(progress, attempt));
    if (!findByAttempt(number))
        return;
    if (isIncomplete)
        return failAttempt(progress, number, attempt_end::may_have_run, "the stream ended before it was complete");
    if (!progress.replyStarted)
        startReply(progress, *findAttempt(progress, number));
    completeReply(progress, number);
}

void router_reducer::completeReply(request_progress& progress, attempt_number number)
{
    auto& attempt = *findAttempt(progress, number);
    const auto status = attempt.answer->head.status;
    recordRun(progress, attempt, attempt.startedAt);
    recordCompletion(progress, attempt);
    m_completionTimes.record(progress.matchedRoute->name, m_now - progress.arrivedAt);
    removeAttempt(progress, number);
    emit(end_reply { progress.caller });
    finish(progress, status, "streamed");
}

void router_reducer::onCompleteAnswer(request_progress& progress, attempt_number number)
{
    auto& attempt = *findAttempt(progress, number);
    auto answer = std::move(*attempt.answer);
    auto body = std::move(attempt.body);
    const auto status = answer.head.status;
    if (!isSuccess(status) && status >= statusInternalServerError && progress.matchedRoute->repeatable()) {
        progress.failedAnswer = std::move(answer);
        progress.failedBody = std::move(body);
        const auto caller = progress.caller;
        failAttempt(progress, number, attempt_end::may_have_run, "status " + std::to_string(status));
        return dropLargeFailure(caller);
    }
    // The upstream has not stated that the request was not run, so the caller must not receive a status that implies it.
    if (impliesNotRun(status))
        return failAttempt(progress, number, attempt_end::may_have_run, "status " + std::to_string(status) + " without a statement that the request was not run");
    if (progress.replyStarted)
        return failAttempt(progress, number, attempt_end::may_have_run, "status " + std::to_string(status) + " in answer to the resumption of a stream");
    attempt.upstream->consecutiveFailures = 0;
    const auto upstream = attempt.upstream;
    std::optional<broken_attempt> uncertainEnd;
    if (answer.head.endsWithConnection)
        uncertainEnd = describeBroken(progress, attempt);
    // An answer without events on a streaming route is a run only if it is a success.
    if (isSuccess(status) || !progress.matchedRoute->streaming)
        recordRun(progress, attempt, attempt.startedAt);
    if (isSuccess(status)) {
        recordCompletion(progress, attempt);
        m_completionTimes.record(progress.matchedRoute->name, m_now - progress.arrivedAt);
    }
    removeAttempt(progress, number);
    cancelAttempts(progress);
    answer.head.contentLength = body.size();
    emit(send_reply { progress.caller, std::move(answer.head), std::move(body) });
    finish(progress, status, "answered");
    // Only now, since a refusal of the request must not take back the answer that it has.
    if (uncertainEnd)
        addBrokenAttempt(*upstream, std::move(*uncertainEnd));
}

// If the retry fails too, the caller gets an error of the router's own in place of a large one.
void router_reducer::dropLargeFailure(caller_id caller)
{
    const auto found = m_requests.find(caller);
    if (found == m_requests.end() || found->second.failedBody.size() <= maxKeptFailureBytes)
        return;
    found->second.failedAnswer.reset();
    found->second.failedBody.clear();
    found->second.failedBody.shrink_to_fit();
}

} // namespace kumquat::router
