#include "servers/claims/claim_reducer.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds retryAfterInProgress { 1000 };
    constexpr std::chrono::milliseconds retryAfterUnavailable { 1000 };

    bool isPrintable(char character)
    {
        return character >= ' ' && character <= '~';
    }

} // namespace

void claim_reducer::handle(const claim_requested& request)
{
    removeExpiredRuns();
    auto& waiting = m_waiting[request.requestId];
    waiting.request = request;
    if (request.key.size() > m_options.keyLimitBytes) {
        deny(waiting, { .code = error_code::malformed_request, .message = "the idempotency key exceeds the limit of " + std::to_string(m_options.keyLimitBytes) + " bytes" });
        return;
    }
    // The object API may alter other characters, so entries would read back a different key.
    if (!std::all_of(request.key.begin(), request.key.end(), isPrintable)) {
        deny(waiting, { .code = error_code::malformed_request, .message = "the idempotency key contains characters other than printable ASCII" });
        return;
    }
    auto& journal = journalOf(request.key);
    if (journal.isUnavailable(m_now)) {
        denyUnavailable(waiting);
        return;
    }
    setDeadline(waiting, m_options.claimTimeout);
    advance(waiting);
}

void claim_reducer::setDeadline(waiting_claim& waiting, duration span)
{
    waiting.deadline = m_now + span;
    m_timers.set(waiting.request.requestId, waiting.deadline);
}

// Decides the next step of a waiting request from the state of its key in the journal.
void claim_reducer::advance(waiting_claim& waiting)
{
    // A response of the object API that arrives after the deadline grants nothing, even if this process was suspended and
    // the timer event comes later.
    if (m_now >= waiting.deadline) {
        handleTimeout(waiting);
        return;
    }
    auto& journal = journalOf(waiting.request.key);
    if (!journal.isLoaded()) {
        journal.requestLoad();
        return;
    }
    const auto* holder = journal.index().find(waiting.request.key);
    if (!holder) {
        appendClaim(waiting, "");
        return;
    }
    if (holder->requestId == waiting.request.requestId) {
        grant(waiting);
        return;
    }
    resolveHolder(waiting, *holder);
}

void claim_reducer::resolveHolder(waiting_claim& waiting, const claim_holder& holder)
{
    // The claim that replaces this holder waits for its commit.
    if (waiting.claimAppended && waiting.replacedHolder == holder.requestId)
        return;
    waiting.claimAppended = false;
    if (holder.answerSegment) {
        fetchAnswer(waiting, holder);
        return;
    }
    if (isSelf(holder.claimant)) {
        applyStatus(waiting, holder, statusOf(holder.requestId));
        return;
    }
    if (!waiting.journalIsCurrent) {
        waiting.state = waiting_state::reading_journal;
        journalOf(waiting.request.key).requestReadToEnd();
        return;
    }
    if (waiting.queriedHolder != holder.requestId)
        queryClaimant(waiting, holder);
}

void claim_reducer::appendClaim(waiting_claim& waiting, std::string replacedHolder)
{
    if (waiting.claimAppended)
        return;
    waiting.state = waiting_state::claiming;
    waiting.claimAppended = true;
    waiting.journalIsCurrent = false;
    waiting.replacedHolder = std::move(replacedHolder);
    const auto& request = waiting.request;
    journalOf(request.key).append(claim_acquired { request.key, request.requestId, request.fingerprint, request.service, m_options.self, waiting.replacedHolder });
}

void claim_reducer::grant(waiting_claim& waiting)
{
    const auto id = waiting.request.requestId;
    m_grantedRuns[id] = { .key = waiting.request.key, .grantedAt = m_now };
    m_grantOrder.emplace_back(m_now, id);
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(claim_granted { id });
}

void claim_reducer::fetchAnswer(waiting_claim& waiting, const claim_holder& holder)
{
    if (holder.fingerprint != waiting.request.fingerprint) {
        deny(waiting, { .code = error_code::key_reused, .message = "the idempotency key has been used with another request" });
        return;
    }
    if (waiting.state == waiting_state::fetching_answer)
        return;
    waiting.state = waiting_state::fetching_answer;
    m_effects->push_back(claim_store_call { read_claim_segment { shardOf(waiting.request.key), *holder.answerSegment } });
}

void claim_reducer::deliverFetchedAnswer(const claim_segment_read& event)
{
    if (errorOf(event.segment) || !valueOf(event.segment))
        return;
    for (const auto& record : valueOf(event.segment)->contents.records) {
        const auto* finished = std::get_if<claim_finished>(&record);
        if (!finished)
            continue;
        const auto* holder = journalOf(finished->key).index().find(finished->key);
        if (!holder || holder->requestId != finished->requestId)
            continue;
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            auto& waiting = (position++)->second;
            if (waiting.state == waiting_state::fetching_answer && waiting.request.key == finished->key)
                answer(waiting, finished->answer);
        }
    }
}

void claim_reducer::queryClaimant(waiting_claim& waiting, const claim_holder& holder)
{
    waiting.state = waiting_state::querying_claimant;
    waiting.queriedHolder = holder.requestId;
    setDeadline(waiting, m_options.queryTimeout);
    m_effects->push_back(send_claim_message { holder.claimant.address, claim_query { m_options.self, holder.requestId } });
}

void claim_reducer::querySidecars(waiting_claim& waiting, const claim_holder& holder)
{
    waiting.state = waiting_state::querying_sidecars;
    waiting.queriedHolder = holder.requestId;
    setDeadline(waiting, m_options.queryTimeout);
    m_effects->push_back(query_sidecars { holder.service, claim_query { m_options.self, holder.requestId } });
}

// Acts on the reply of the claimant or of a sidecar about the request that holds the key.
void claim_reducer::applyStatus(waiting_claim& waiting, const claim_holder& holder, const claim_status& status)
{
    const auto& request = waiting.request;
    if (status.state == claim_state::abandoned) {
        appendClaim(waiting, holder.requestId);
        return;
    }
    if (holder.fingerprint != request.fingerprint) {
        deny(waiting, { .code = error_code::key_reused, .message = "the idempotency key has been used with another request" });
        return;
    }
    switch (status.state) {
    case claim_state::finished:
        journalOf(request.key).append(claim_finished { request.key, holder.requestId, limitAnswerSize(status.answer) });
        answer(waiting, status.answer);
        return;
    case claim_state::in_progress:
        denyInProgress(waiting);
        return;
    case claim_state::unknown:
    case claim_state::abandoned:
        break;
    }
    if (waiting.state != waiting_state::querying_sidecars)
        querySidecars(waiting, holder);
}

void claim_reducer::answer(waiting_claim& waiting, const stored_answer& stored)
{
    if (!stored.whole) {
        deny(waiting, { .code = error_code::answer_not_kept, .message = "a request with this idempotency key has run; its answer was too large to be stored", .ran = ran_state::yes });
        return;
    }
    const auto id = waiting.request.requestId;
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(claim_answered { id, stored });
    m_effects->push_back(count_metric { "kumquat_claim_answered_total", {} });
}

void claim_reducer::denyInProgress(waiting_claim& waiting)
{
    deny(waiting, { .code = error_code::in_progress, .message = "a request with this idempotency key is in progress", .ran = ran_state::unknown, .retryAfter = retryAfterInProgress });
}

void claim_reducer::deny(waiting_claim& waiting, caller_error error)
{
    const auto id = waiting.request.requestId;
    journalOf(waiting.request.key).removePendingClaim(id);
    m_timers.cancel(id);
    m_waiting.erase(id);
    m_effects->push_back(count_metric { "kumquat_claim_denied_total", { { "code", toString(error.code) } } });
    m_effects->push_back(claim_denied { id, std::move(error) });
}

// Denies the request, which then never runs. An earlier request with the same key may have run: the error reports `ran`
// as unknown in that case.
void claim_reducer::denyUnavailable(waiting_claim& waiting)
{
    const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
    const bool hasOtherHolder = holder && holder->requestId != waiting.request.requestId && !waiting.claimAppended;
    deny(waiting, { .code = error_code::claim_unavailable, .message = "the claim on the idempotency key was not resolved through the object API in time", .ran = hasOtherHolder ? ran_state::unknown : ran_state::no, .retryAfter = retryAfterUnavailable });
}

void claim_reducer::handleTimeout(waiting_claim& waiting)
{
    const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
    if (waiting.state == waiting_state::querying_claimant && holder && holder->requestId == waiting.queriedHolder) {
        querySidecars(waiting, *holder);
        return;
    }
    if (waiting.state == waiting_state::querying_sidecars) {
        deny(waiting, { .code = error_code::outcome_unknown, .message = "a request with this idempotency key may have run; neither its entry nor a sidecar reported its outcome", .ran = ran_state::unknown });
        return;
    }
    denyUnavailable(waiting);
}

} // namespace kumquat
