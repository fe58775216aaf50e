#include "servers/entry/entry_reducer.h"

#include "core/request_id.h"

#include <algorithm>

namespace kumquat {

namespace {

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

} // namespace

void entry_reducer::handle(const entry_peer_received& event)
{
    std::visit([this](const auto& message) { receive(message); }, event.message);
}

request_record* entry_reducer::findByCurrentAttempt(const answer_header& header)
{
    const auto found = m_requests.find(header.attempt.requestId);
    if (found == m_requests.end())
        return nullptr;
    auto& attempt = found->second.attempt;
    if (!attempt || attempt->number != header.attempt.attempt || attempt->upstreamId != header.sidecarId)
        return nullptr;
    attempt->unansweredCopies = 0;
    attempt->lastReceivedAt = m_now;
    if (auto* upstream = m_directory.find(attempt->upstreamId))
        upstream->unresponsive = false;
    return &found->second;
}

void entry_reducer::receive(const offer_refused& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findByCurrentAttempt(message.header);
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
    findByCurrentAttempt(message.header);
}

void entry_reducer::receive(const offer_started& message)
{
    auto* record = findByCurrentAttempt(message.header);
    if (!record)
        return;
    if (!record->attempt->started)
        record->attempt->lastProgress = m_now;
    record->attempt->started = true;
    record->ran = ran_state::yes;
}

void entry_reducer::receive(const output_chunk& message)
{
    auto* record = findByCurrentAttempt(message.header);
    if (!record)
        return;
    observeSpeed(*record->attempt, message);
    record->attempt->started = true;
    record->ran = ran_state::yes;
    for (const auto& fragment : record->attempt->chunks.accept(message))
        deliver(*record, fragment);
    finishWhenComplete(*record);
}

// Updates the upstream's speed from chunks that arrive in order. Chunks that were sent again after a loss are skipped, since
// their delay comes from the network and not from the upstream.
void entry_reducer::observeSpeed(live_attempt& attempt, const output_chunk& chunk)
{
    if (chunk.sequence != attempt.chunks.nextChunk())
        return;
    auto* upstream = m_directory.find(attempt.upstreamId);
    if (upstream && attempt.lastProgress && chunk.sequence == 0)
        upstream->speed.observeFirstChunk(m_now - *attempt.lastProgress, m_now);
    if (upstream && attempt.lastProgress && chunk.sequence > 0)
        upstream->speed.observeTokenInterval((m_now - *attempt.lastProgress) / std::max(1U, chunk.tokens), m_now);
    attempt.lastProgress = m_now;
}

void entry_reducer::deliver(request_record& record, const answer_assembler::fragment& fragment)
{
    if (!record.firstTokenAt) {
        record.firstTokenAt = m_now;
        m_effects->push_back(observe_metric { "kumquat_first_token_seconds", { { "class", record.requestClass.name } }, seconds(m_now - record.arrivedAt) });
    }
    record.deliveredTokens += fragment.tokens;
    record.deliveredText += fragment.text;
    if (!record.isStreamed())
        return;
    startAnswer(record, 200, "");
    m_effects->push_back(append_answer { record.channel, fragment.text, fragment.tokens });
}

void entry_reducer::startAnswer(request_record& record, int status, const std::string& contentType)
{
    if (record.answerStarted)
        return;
    record.answerStarted = true;
    m_effects->push_back(begin_answer { record.channel, record.id, record.model, record.format, status, contentType });
}

void entry_reducer::receive(const offer_finished& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findByCurrentAttempt(message.header);
    if (!record)
        return;
    record->ran = ran_state::yes;
    record->attempt->finished = message;
    record->attempt->chunks.setChunkCount(message.chunkCount);
    finishWhenComplete(*record);
    // If chunks are missing, the request is still pending here, and the next copy of the offer requests them.
}

void entry_reducer::finishWhenComplete(request_record& record)
{
    auto& attempt = *record.attempt;
    if (!attempt.finished || !attempt.chunks.isComplete())
        return;
    const auto finished = *attempt.finished;
    m_effects->push_back(send_to_sidecar { attempt.address, acknowledge { { record.id, attempt.number }, attempt.sidecarIncarnation } });
    startAnswer(record, finished.status, finished.contentType);
    record.status = finished.status;
    record.contentType = finished.contentType;
    // The engine counts the tokens that earlier attempts delivered as part of the prompt, because they were sent as its prefix.
    const auto promptTokens = finished.promptTokens - std::min(finished.promptTokens, attempt.prefixTokens);
    m_suspects.recordCompletion(record.fingerprint);
    m_retryBudget.addSuccess(record.service, m_now);
    log(log_level::info, "request_finished", record, { { "upstream", attempt.upstreamId }, { "tokens", std::to_string(record.deliveredTokens) } });
    completeRequest(record, finished.finishReason, promptTokens);
}

void entry_reducer::completeRequest(request_record& record, const std::string& finishReason, std::uint32_t promptTokens)
{
    if (!record.isStreamed())
        m_effects->push_back(append_answer { record.channel, record.deliveredText, 0 });
    m_effects->push_back(finish_answer { record.channel, finishReason, promptTokens, record.deliveredTokens });
    storeAnswer(record, finishReason, promptTokens);
    m_effects->push_back(count_metric { "kumquat_entry_finished_total", { { "class", record.requestClass.name } } });
    m_effects->push_back(observe_metric { "kumquat_total_seconds", { { "class", record.requestClass.name } }, seconds(m_now - record.arrivedAt) });
    removeRequest(record);
}

void entry_reducer::receive(const offer_failed& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findByCurrentAttempt(message.header);
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

void entry_reducer::receive(const offer_withdrawn& message)
{
    m_withdrawals.remove(message.header.attempt);
    auto* record = findByCurrentAttempt(message.header);
    if (!record)
        return;
    if (record->attempt->errorAfterWithdrawal) {
        finishWithdrawal(*record, message.started);
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
    auto* record = findByCurrentAttempt(message.header);
    if (!record || message.namedIncarnation != record->attempt->sidecarIncarnation)
        return;
    // The sidecar process that received the attempt may have run it before a new process replaced it.
    record->ran = ran_state::unknown;
    retryFailed(*record, { .code = error_code::outcome_unknown, .message = "the upstream's sidecar was replaced and the outcome is unknown" });
}

} // namespace kumquat
