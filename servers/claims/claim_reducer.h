#pragma once

#include "core/timer_queue.h"
#include "servers/claims/claim_effect.h"
#include "servers/claims/claim_event.h"
#include "servers/claims/claim_journal.h"
#include "servers/claims/claim_options.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

// Decides which request may run under an idempotency key. Over all entries and for the whole retention at most one
// request holds the grant of a key. A denied request is never granted later, even if the write of its claim takes effect
// in the object API after the denial.
class claim_reducer {
public:
    explicit claim_reducer(claim_options);
    claim_reducer(const claim_reducer&) = delete;
    claim_reducer& operator=(const claim_reducer&) = delete;

    // Applies one event and appends the effects that the caller has to execute.
    void step(const claim_event&, instant now, claim_effects&);
    // Returns when the next claim_timer_due event is needed, or nothing.
    std::optional<instant> nextDeadline() const;

    const claim_options& options() const { return m_options; }
    // Returns the number of keys in the indexes of this entry.
    std::size_t keyCount() const;
    // Returns the number of answers that are not yet stored in the object API.
    std::size_t unstoredAnswerCount() const;

private:
    // What a request that has neither been granted nor denied waits for.
    enum class waiting_state { claiming,
        reading_journal,
        fetching_answer,
        querying_claimant,
        querying_sidecars };

    struct waiting_claim {
        claim_requested request;
        waiting_state state = waiting_state::claiming;
        instant deadline;
        // Whether the claim has been passed to the journal for a commit.
        bool claimAppended = false;
        // Abandoned holder that the claim replaces; empty for a free key.
        std::string replacedHolder;
        // Holder about which the claimant or the sidecars have been queried.
        std::string queriedHolder;
        // Whether a response has confirmed the end of the journal since the request arrived or last appended its claim.
        bool journalIsCurrent = false;
    };

    // A granted request of this entry.
    struct granted_run {
        std::string key;
        claim_state state = claim_state::in_progress;
        // Present until it is stored in the object API.
        std::optional<stored_answer> answer;
        instant grantedAt;
    };

    void handle(const claim_requested&);
    void handle(const claimed_request_finished&);
    void handle(const claimed_request_failed&);
    void handle(const claim_message_received&);
    void handle(const claim_segments_listed&);
    void handle(const claim_segment_read&);
    void handle(const claim_segment_written&);
    void handle(const claim_timer_due&);
    void receive(const claim_query&);
    void receive(const claim_status&);

    void advance(waiting_claim&);
    void resolveHolder(waiting_claim&, const claim_holder&);
    void appendClaim(waiting_claim&, std::string replacedHolder);
    void fetchAnswer(waiting_claim&, const claim_holder&);
    void deliverFetchedAnswer(const claim_segment_read&);
    void queryClaimant(waiting_claim&, const claim_holder&);
    void querySidecars(waiting_claim&, const claim_holder&);
    void applyStatus(waiting_claim&, const claim_holder&, const claim_status&);
    void grant(waiting_claim&);
    void answer(waiting_claim&, const stored_answer&);
    void deny(waiting_claim&, caller_error);
    void denyInProgress(waiting_claim&);
    void denyUnavailable(waiting_claim&);
    void handleTimeout(waiting_claim&);
    void setDeadline(waiting_claim&, duration);
    void apply(std::uint32_t shard, const claim_journal::updates&);
    void releaseAbandoned(claim_journal&, const claim_segment&);
    void discardStoredAnswers(const claim_segment&);
    void removeExpiredRuns();
    // Returns the answer, without its text when that is above answerLimitBytes.
    stored_answer limitAnswerSize(stored_answer) const;
    claim_status statusOf(const std::string& requestId) const;
    bool isSelf(const peer_identity&) const;
    std::uint32_t shardOf(const std::string& key) const;
    claim_journal& journalOf(const std::string& key) { return m_journals[shardOf(key)]; }

    const claim_options m_options;
    std::deque<claim_journal> m_journals;
    // Requests that have neither been granted nor denied, by request id.
    std::map<std::string, waiting_claim> m_waiting;
    // Granted requests by request id, removed after twice the retention.
    std::unordered_map<std::string, granted_run> m_grantedRuns;
    // Time and request id of each grant, oldest first.
    std::deque<std::pair<instant, std::string>> m_grantOrder;
    timer_queue<std::string> m_timers;

    // m_now is the time of the last step; m_effects is set only during step().
    instant m_now;
    claim_effects* m_effects = nullptr;
};

} // namespace kumquat
