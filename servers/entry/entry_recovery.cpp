#include "servers/entry/entry_reducer.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Unanswered copies of an offer after which the upstream counts as unresponsive and receives new requests only when all
    // others of its service are unresponsive too.
    constexpr std::uint32_t unansweredLimit = 2;
    // Factor on the resend interval for a queued attempt, whose state changes less often than that of a running one.
    constexpr int queuedResendFactor = 4;

} // namespace

void entry_reducer::handle(const caller_disconnected& event)
{
    const auto found = m_channels.find(event.channel);
    if (found == m_channels.end())
        return;
    auto& record = m_requests.at(found->second);
    log(log_level::info, "caller_gone", record, { { "delivered_tokens", std::to_string(record.deliveredTokens) } });
    m_effects->push_back(count_metric { "kumquat_entry_abandoned_total", { { "class", record.requestClass.name } } });
    // A later request with the same idempotency key may need the answer, so the attempt continues without a caller.
    if (record.claimed) {
        m_channels.erase(found);
        record.channel = 0;
        return;
    }
    withdrawAttempt(record);
    removeRequest(record);
}

void entry_reducer::endAttempt(request_record& record)
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
    endAttempt(record);
    if (isFinal) {
        failRequest(record, std::move(error));
        return;
    }
    record.lastError = std::move(error);
    m_effects->push_back(count_metric { "kumquat_entry_retries_total", { { "class", record.requestClass.name }, { "after", "refusal" } } });
    dispatch(record);
}

void entry_reducer::retryFailed(request_record& record, caller_error error)
{
    record.failures++;
    endAttempt(record);
    if (finishAtTokenLimit(record))
        return;
    if (!mayRetry(record) || !m_retryBudget.take(record.service, m_now)) {
        failRequest(record, std::move(error));
        return;
    }
    prepareRetry(record);
    record.lastError = std::move(error);
    m_effects->push_back(count_metric { "kumquat_entry_retries_total", { { "class", record.requestClass.name }, { "after", "failure" } } });
    m_timers.set(record.id, std::min(record.deadline, m_now + m_retryBackoff.draw(record.failures)));
}

bool entry_reducer::mayRetry(const request_record& record) const
{
    if (record.ran != ran_state::no && !record.requestClass.repeatable)
        return false;
    if (record.answerStarted && !record.resumable)
        return false;
    return record.failures < m_options.maxFailedAttempts;
}

void entry_reducer::prepareRetry(request_record& record)
{
    if (!record.resumable) {
        record.deliveredText.clear();
        record.deliveredTokens = 0;
    }
    // An upstream that failed may be tried again after all others have been tried.
    const auto candidates = m_directory.usable(record.service, m_now);
    const bool triedAll = std::all_of(candidates.begin(), candidates.end(), [&](const auto* candidate) { return record.triedUpstreams.contains(candidate->id); });
    if (triedAll)
        record.triedUpstreams.clear();
}

// Completes an answer whose stream broke after the last token that the caller's limit allows: only the end was lost.
bool entry_reducer::finishAtTokenLimit(request_record& record)
{
    if (!record.resumable || record.maxOutputTokens == 0 || record.deliveredTokens < record.maxOutputTokens)
        return false;
    startAnswer(record, 200, "");
    completeRequest(record, "length", 0);
    return true;
}

void entry_reducer::failRequest(request_record& record, caller_error error)
{
    error.ran = record.ran;
    if (record.claimed)
        stepClaims(claimed_request_failed { record.id, record.ran != ran_state::no });
    log(log_level::warning, "request_failed", record, { { "code", toString(error.code) }, { "ran", toString(error.ran) }, { "message", error.message } });
    m_effects->push_back(count_metric { "kumquat_entry_failed_total", { { "class", record.requestClass.name }, { "code", toString(error.code) } } });
    m_effects->push_back(fail_answer { record.channel, record.id, std::move(error) });
    removeRequest(record);
}

// The process ends only when each caller has its answer, so that a request without one would hold it for ever.
void entry_reducer::failAllRequests()
{
    while (!m_requests.empty()) {
        auto& record = m_requests.begin()->second;
        withdrawAttempt(record);
        if (record.attempt && record.ran == ran_state::no)
            record.ran = ran_state::unknown;
        const bool hasNotRun = record.ran == ran_state::no;
        failRequest(record, { .code = hasNotRun ? error_code::draining : error_code::outcome_unknown, .message = "the entry stops before the request has ended" });
    }
}

void entry_reducer::removeRequest(request_record& record)
{
    endAttempt(record);
    releaseSuspectLock(record);
    if (record.countsAgainstLimits)
        m_limiter.release(record.organisation);
    m_timers.cancel(record.id);
    m_channels.erase(record.channel);
    m_requests.erase(std::string(record.id));
}

void entry_reducer::withdrawAttempt(const request_record& record)
{
    // An attempt of a claimed request continues, and its sidecar stores the answer for later requests with the same key.
    if (!record.attempt || record.claimed)
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
    if (record.attempt && record.attempt->errorAfterWithdrawal) {
        finishWithdrawal(record, true);
        return;
    }
    if (m_now >= record.deadline) {
        abandonAttempt(record, { .code = error_code::timeout, .message = "the request exceeded its time limit" });
        return;
    }
    if (!record.attempt) {
        dispatch(record);
        return;
    }
    const auto resendAt = nextResendTime(*record.attempt);
    if (resendAt > m_now) {
        m_timers.set(record.id, std::min(record.deadline, resendAt));
        return;
    }
    auto* upstream = m_directory.find(record.attempt->upstreamId);
    if (upstream && record.attempt->unansweredCopies >= unansweredLimit)
        upstream->unresponsive = true;
    if (record.attempt->unansweredCopies < m_options.resendLimit) {
        sendOffer(record);
        return;
    }
    abandonAttempt(record, { .code = error_code::outcome_unknown, .message = "upstream '" + record.attempt->upstreamId + "' stopped answering" });
}

// Returns the time at which a copy of the offer is due if the sidecar sends nothing from now on.
instant entry_reducer::nextResendTime(const live_attempt& attempt) const
{
    if (!attempt.lastReceivedAt || attempt.unansweredCopies > 0)
        return m_now;
    const bool isQueued = !attempt.started;
    return *attempt.lastReceivedAt + m_options.resendInterval * (isQueued ? queuedResendFactor : 1);
}

void entry_reducer::abandonAttempt(request_record& record, caller_error error)
{
    if (!record.attempt) {
        failRequest(record, std::move(error));
        return;
    }
    withdrawAttempt(record);
    // The sidecar's answer is not needed when the request may run again or has certainly started; an attempt of a claimed
    // request is not withdrawn at all.
    const bool needsAnswer = !record.requestClass.repeatable && !record.claimed && record.ran == ran_state::no;
    record.attempt->errorAfterWithdrawal = std::move(error);
    if (!needsAnswer) {
        finishWithdrawal(record, true);
        return;
    }
    m_timers.set(record.id, m_now + m_options.withdrawalTimeout);
}

void entry_reducer::finishWithdrawal(request_record& record, bool mayHaveRun)
{
    auto error = std::move(*record.attempt->errorAfterWithdrawal);
    if (mayHaveRun)
        record.ran = ran_state::unknown;
    if (m_now >= record.deadline) {
        failRequest(record, std::move(error));
        return;
    }
    if (mayHaveRun)
        retryFailed(record, std::move(error));
    else
        retryRefused(record, std::move(error));
}

} // namespace kumquat
