#include "servers/claims/claim_reducer.h"

#include "core/overloaded.h"
#include "core/request_id.h"

namespace kumquat {

void claim_reducer::handle(const claimed_request_finished& event)
{
    const auto found = m_grantedRuns.find(event.requestId);
    if (found == m_grantedRuns.end())
        return;
    auto limitedAnswer = limitAnswerSize(event.answer);
    found->second.state = claim_state::finished;
    found->second.answer = limitedAnswer;
    journalOf(found->second.key).append(claim_finished { found->second.key, event.requestId, std::move(limitedAnswer) });
}

stored_answer claim_reducer::limitAnswerSize(stored_answer answer) const
{
    if (answer.text.size() > m_options.answerLimitBytes) {
        answer.whole = false;
        answer.text.clear();
    }
    return answer;
}

void claim_reducer::handle(const claimed_request_failed& event)
{
    const auto found = m_grantedRuns.find(event.requestId);
    if (found == m_grantedRuns.end())
        return;
    found->second.state = event.mayHaveRun ? claim_state::unknown : claim_state::abandoned;
    if (!event.mayHaveRun)
        journalOf(found->second.key).append(claim_released { found->second.key, event.requestId });
}

void claim_reducer::handle(const claim_message_received& event)
{
    const auto visitor = overloaded {
        [this](const claim_query& query) { receive(query); },
        [this](const claim_status& status) { receive(status); },
        [](const auto&) {},
    };
    std::visit(visitor, event.message);
}

void claim_reducer::receive(const claim_query& query)
{
    m_effects->push_back(send_claim_message { query.from.address, statusOf(query.requestId) });
}

// A request that this incarnation numbered and that is neither waiting nor granted is never dispatched. The id's prefix
// names the incarnation; nothing is known about requests of another one.
claim_status claim_reducer::statusOf(const std::string& requestId) const
{
    claim_status status { .requestId = requestId };
    if (m_waiting.contains(requestId)) {
        status.state = claim_state::in_progress;
        return status;
    }
    const auto found = m_grantedRuns.find(requestId);
    if (found == m_grantedRuns.end()) {
        const auto prefix = requestIdPrefix(m_options.self);
        status.state = requestId.starts_with(prefix) ? claim_state::abandoned : claim_state::unknown;
        return status;
    }
    const auto& run = found->second;
    status.state = run.state;
    if (run.answer)
        status.answer = *run.answer;
    // This entry discards an answer once it is stored in the object API. The status in_progress makes the caller retry, and
    // its next request with the key gets the stored answer.
    else if (run.state == claim_state::finished)
        status.state = claim_state::in_progress;
    return status;
}

void claim_reducer::receive(const claim_status& status)
{
    std::vector<std::string> affectedIds;
    for (const auto& [id, waiting] : m_waiting) {
        const bool isQuerying = waiting.state == waiting_state::querying_claimant || waiting.state == waiting_state::querying_sidecars;
        if (isQuerying && waiting.queriedHolder == status.requestId)
            affectedIds.push_back(id);
    }
    for (const auto& id : affectedIds) {
        auto& waiting = m_waiting.at(id);
        const auto* holder = journalOf(waiting.request.key).index().find(waiting.request.key);
        if (holder && holder->requestId == status.requestId)
            applyStatus(waiting, *holder, status);
        else
            advance(waiting);
    }
}

} // namespace kumquat
