#include "servers/entry/entry_reducer.h"

#include "core/hash.h"
#include "core/request_id.h"

namespace kumquat {

void entry_reducer::receive(const claim_query& message)
{
    stepClaims(claim_message_received { message });
}

void entry_reducer::receive(const claim_status& message)
{
    stepClaims(claim_message_received { message });
}

void entry_reducer::handle(const entry_claim_event& event)
{
    stepClaims(event.event);
}

void entry_reducer::claimKey(request_record& record, const caller_request& request)
{
    const auto fingerprint = hashBytes(request.path, hashBytes(request.method, record.fingerprint));
    stepClaims(claim_requested { record.id, record.organisation + "/" + request.idempotencyKey, fingerprint, record.service });
}

// Stores the complete answer of a claimed request, so that later requests with the same idempotency key receive it.
void entry_reducer::storeAnswer(const request_record& record, const std::string& finishReason, std::uint32_t promptTokens)
{
    if (!record.claimed)
        return;
    stored_answer answer { .whole = true, .status = record.status, .contentType = record.contentType, .text = record.deliveredText, .finishReason = finishReason, .promptTokens = promptTokens, .outputTokens = record.deliveredTokens };
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
    // The caller disconnected while the claim was being written; nothing has been dispatched.
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
    const auto& stored = effect.answer;
    startAnswer(record, stored.status, stored.contentType);
    m_effects->push_back(append_answer { record.channel, stored.text, stored.outputTokens });
    m_effects->push_back(finish_answer { record.channel, stored.finishReason, stored.promptTokens, stored.outputTokens });
    log(log_level::info, "request_answered_again", record);
    removeRequest(record);
}

void entry_reducer::apply(const claim_denied& effect)
{
    const auto found = m_requests.find(effect.requestId);
    if (found == m_requests.end())
        return;
    found->second.ran = effect.error.ran;
    failRequest(found->second, effect.error);
}

void entry_reducer::apply(const send_claim_message& effect)
{
    m_effects->push_back(send_to_sidecar { effect.address, effect.message });
}

void entry_reducer::apply(const query_sidecars& effect)
{
    for (const auto& [id, upstream] : m_directory.all()) {
        if (upstream.service == effect.service)
            m_effects->push_back(send_to_sidecar { upstream.address, effect.query });
    }
}

} // namespace kumquat
