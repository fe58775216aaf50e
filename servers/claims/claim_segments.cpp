#include "servers/claims/claim_reducer.h"

namespace kumquat {

void claim_reducer::handle(const claim_segments_listed& event)
{
    if (event.shard < m_journals.size())
        apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::handle(const claim_segment_read& event)
{
    if (event.shard >= m_journals.size())
        return;
    deliverFetchedAnswer(event);
    apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::handle(const claim_segment_written& event)
{
    if (event.shard < m_journals.size())
        apply(event.shard, m_journals[event.shard].handle(event, m_now, *m_effects));
}

void claim_reducer::apply(std::uint32_t shard, const claim_journal::updates& updates)
{
    for (const auto& segment : updates.applied) {
        releaseAbandoned(m_journals[shard], segment);
        discardStoredAnswers(segment);
    }
    if (!updates.failed && !updates.reachedEnd && updates.applied.empty())
        return;
    for (auto position = m_waiting.begin(); position != m_waiting.end();) {
        auto& waiting = (position++)->second;
        if (shardOf(waiting.request.key) != shard)
            continue;
        if (updates.reachedEnd)
            waiting.journalIsCurrent = true;
        const bool needsStore = waiting.state == waiting_state::claiming || waiting.state == waiting_state::reading_journal;
        if (!needsStore)
            continue;
        if (updates.failed)
            denyUnavailable(waiting);
        else
            advance(waiting);
    }
}

// Releases claims of this entry that were committed after their requests had been denied, since no request will run
// under them.
void claim_reducer::releaseAbandoned(claim_journal& journal, const claim_segment& segment)
{
    for (const auto& record : segment.records) {
        const auto* acquired = std::get_if<claim_acquired>(&record);
        if (!acquired || !isSelf(acquired->claimant) || statusOf(acquired->requestId).state != claim_state::abandoned)
            continue;
        const claim_released released { acquired->key, acquired->requestId };
        if (journal.index().wouldApply(released))
            journal.append(released);
    }
}

void claim_reducer::discardStoredAnswers(const claim_segment& segment)
{
    for (const auto& record : segment.records) {
        const auto* finished = std::get_if<claim_finished>(&record);
        if (!finished)
            continue;
        if (const auto found = m_grantedRuns.find(finished->requestId); found != m_grantedRuns.end())
            found->second.answer.reset();
    }
}

} // namespace kumquat
