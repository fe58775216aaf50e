#include "servers/sidecar/sidecar_reducer.h"

#include "core/overloaded.h"

namespace kumquat {

namespace {

    bool hasEnded(const attempt_state& state)
    {
        return !std::holds_alternative<attempt_queued>(state) && !std::holds_alternative<attempt_running>(state);
    }

} // namespace

// Moves an attempt to a final state and retains it as a tombstone.
void sidecar_reducer::endAttempt(attempt_record& record, attempt_state state)
{
    if (const auto* running = std::get_if<attempt_running>(&record.state))
        m_runs.erase(running->run);
    record.state = std::move(state);
    record.request.job = {};
    record.request.deliveredPrefix.clear();
    m_entries.removeAttempt(record.request.from, record.request.attempt);
    if (!record.chunks.empty())
        m_entries.addUnacknowledgedAnswer(record.request.from, record.request.attempt);
    m_tombstones.set(record.request.attempt, m_now + m_options.tombstoneRetention);
}

void sidecar_reducer::sendState(const attempt_record& record, std::uint32_t firstChunk)
{
    const auto header = headerOf(record);
    const auto& address = record.request.from.address;
    const auto sendAllChunks = [&] {
        for (std::uint32_t sequence = firstChunk; sequence < record.chunks.size(); ++sequence)
            sendChunk(record, sequence);
    };
    const auto visitor = overloaded {
        [&](const attempt_queued& queued) {
            // To the entry, a preempted attempt is one that has started.
            if (queued.started)
                send(address, offer_started { header });
            else
                send(address, offer_queued { header, static_cast<std::uint32_t>(queuedCount()) });
            sendAllChunks();
        },
        [&](const attempt_running&) {
            send(address, offer_started { header });
            sendAllChunks();
        },
        [&](const attempt_finished& finished) {
            sendAllChunks();
            send(address, offer_finished { header, static_cast<std::uint32_t>(record.chunks.size()), record.status, record.contentType, finished.finishReason, finished.promptTokens });
        },
        [&](const attempt_failed& failed) {
            sendAllChunks();
            send(address, offer_failed { header, failed.started, failed.crashed, failed.reason, failed.message });
        },
        [&](const attempt_refused& refused) { send(address, offer_refused { header, refused.reason, refused.message, refused.retryAfter }); },
        [&](const attempt_withdrawn& withdrawn) { send(address, offer_withdrawn { header, withdrawn.started }); },
    };
    std::visit(visitor, record.state);
}

void sidecar_reducer::sendChunk(const attempt_record& record, std::uint32_t sequence)
{
    const auto& chunk = record.chunks[sequence];
    send(record.request.from.address, output_chunk { headerOf(record), sequence, chunk.tokens, chunk.text });
}

void sidecar_reducer::receive(const withdraw& request)
{
    recordMessageFrom(request.from);
    const auto found = m_attempts.find(request.attempt);
    if (found != m_attempts.end()) {
        withdrawAttempt(found->second);
        return;
    }
    if (request.sidecarIncarnation != m_options.incarnation) {
        const answer_header header { request.attempt, m_options.id, m_options.incarnation };
        send(request.from.address, wrong_incarnation { header, request.sidecarIncarnation });
        return;
    }
    // The tombstone prevents a run if the offer arrives after its withdrawal.
    auto& record = m_attempts[request.attempt];
    record.request.from = request.from;
    record.request.attempt = request.attempt;
    m_scheduler->recordUnstartedWithdrawal(request.attempt);
    endAttempt(record, attempt_withdrawn { false });
    sendState(record, 0);
}

void sidecar_reducer::withdrawAttempt(attempt_record& record)
{
    const auto& attempt = record.request.attempt;
    if (const auto* queued = std::get_if<attempt_queued>(&record.state)) {
        m_scheduler->withdraw(attempt, m_now);
        endAttempt(record, attempt_withdrawn { queued->started });
    } else if (const auto* running = std::get_if<attempt_running>(&record.state)) {
        m_effects->push_back(cancel_run { running->run });
        m_scheduler->recordEnd(attempt, slot_scheduler::run_end::cancelled, m_now);
        endAttempt(record, attempt_withdrawn { true });
        log(log_level::info, "attempt_cancelled", record);
    }
    endDelivery(record);
    sendState(record, 0);
}

// Records that the entry no longer needs the answer, and discards it unless the attempt has finished and must not be
// repeated. In that case the answer is retained for claim queries.
void sidecar_reducer::endDelivery(attempt_record& record)
{
    if (record.request.repeatable || !std::holds_alternative<attempt_finished>(record.state))
        discardAnswer(record);
    else
        m_entries.removeUnacknowledgedAnswer(record.request.from, record.request.attempt);
}

void sidecar_reducer::discardAnswer(attempt_record& record)
{
    record.chunks.clear();
    record.chunks.shrink_to_fit();
    m_entries.removeUnacknowledgedAnswer(record.request.from, record.request.attempt);
}

void sidecar_reducer::receive(const acknowledge& request)
{
    const auto found = m_attempts.find(request.attempt);
    if (found == m_attempts.end() || !hasEnded(found->second.state))
        return;
    endDelivery(found->second);
}

void sidecar_reducer::receive(const subscribe& request)
{
    recordMessageFrom(request.from);
    if (m_entries.subscribe(request.from, request.reportInterval, m_now))
        send(request.from.address, makeReport());
    stepDocumentManager(peer_version_seen { request.from, { request.generation, request.documentHash } });
}

void sidecar_reducer::recordMessageFrom(const peer_identity& entry)
{
    m_entries.recordMessage(entry, m_now);
    if (!m_nextReportAt)
        m_nextReportAt = m_now + m_options.reportInterval;
}

// Answers the query of an entry for the outcome of a request that must not be repeated and whose entry has failed. Sends
// nothing if this sidecar has no such outcome.
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

} // namespace kumquat
