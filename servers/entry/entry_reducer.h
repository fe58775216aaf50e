#pragma once

#include "core/timer_queue.h"
#include "servers/claims/claim_reducer.h"
#include "servers/config/document_manager.h"
#include "servers/entry/entry_effect.h"
#include "servers/entry/entry_options.h"
#include "servers/entry/lease_giver.h"
#include "servers/entry/organisation_limiter.h"
#include "servers/entry/request_record.h"
#include "servers/entry/suspect_registry.h"
#include "servers/entry/upstream_directory.h"
#include "servers/entry/upstream_selector.h"
#include "servers/entry/withdrawal_list.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace kumquat {

// Holds callers, chooses upstreams, and delivers each answer whole and once.
class entry_reducer {
public:
    explicit entry_reducer(entry_options);

    // Applies one event and appends what has to be done about it.
    void step(const entry_event&, instant now, entry_effects&);

    // Returns when the next entry_timer_due event is wanted, or nothing.
    std::optional<instant> nextDeadline() const;

    // State for the dump and for tests.
    const entry_options& options() const { return m_options; }
    const std::map<std::string, request_record>& requests() const { return m_requests; }
    const claim_reducer& claims() const { return m_claims; }
    const upstream_directory& upstreams() const { return m_directory; }
    const document_manager& documentManager() const { return m_documentManager; }
    bool draining() const { return m_drainDeadline.has_value(); }
    std::uint64_t generation() const;
    // Whether new callers can be served.
    bool ready() const { return m_document && !draining(); }

private:
    void handle(const caller_arrived&);
    void handle(const caller_gone&);
    void handle(const entry_peer_received&);
    void handle(const entry_document_received&);
    void handle(const instances_listed&);
    void handle(const entry_drain_requested&);
    void handle(const entry_timer_due&);
    void handle(const entry_claim_answered&);
    void handle(const entry_document_event&);

    void receive(const offer_refused&);
    void receive(const offer_queued&);
    void receive(const offer_started&);
    void receive(const output_chunk&);
    void receive(const offer_finished&);
    void receive(const offer_failed&);
    void receive(const offer_withdrawn&);
    void receive(const wrong_incarnation&);
    void receive(const report&);
    void receive(const claim_query&);
    void receive(const claim_status&);
    void receive(const document_request&);
    void receive(const document_difference&);
    void receive(const full_document&);
    // Not-repeatable requests with an idempotency key hold a claim before they are dispatched.
    void claimKey(request_record&, const caller_request&);
    void storeOutcome(const request_record&, const std::string& finishReason, std::uint32_t promptTokens);
    void stepClaims(const claim_event&);
    void apply(const claim_granted&);
    void apply(const claim_answered&);
    void apply(const claim_denied&);
    void apply(const send_claim_message&);
    void apply(const query_sidecars&);
    // Store calls, log lines and metrics are passed on.
    template <typename Other>
    void apply(const Other& effect) { m_effects->push_back(effect); }

    void receive(const suspect_notice&);
    void receive(const lease_request&);
    void receive(const lease_grant&);
    // The remaining messages are addressed to sidecars only.
    template <typename Other>
    void receive(const Other&) { }

    void accept(request_record, const caller_request&);
    void dispatch(request_record&);
    // Returns null when the request cannot be offered anywhere now.
    upstream_state* chooseUpstream(request_record&);
    upstream_state* chooseInWindows(const request_record&);
    upstream_state* selectAmong(const std::vector<upstream_state*>&, const request_record&);
    void startAttempt(request_record&, upstream_state&);
    void sendOffer(request_record&);
    void attemptEnded(request_record&);

    // Ends the attempt in the knowledge that it did not run: another upstream is tried at once.
    void retryRefused(request_record&, caller_error);
    // Ends the attempt without that knowledge: it is retried after a pause when that is safe and the budget allows.
    void retryFailed(request_record&, caller_error);
    bool mayRepeat(const request_record&) const;
    // Drops what was kept but not shown when an engine cannot continue behind it.
    void prepareRepeat(request_record&);
    bool finishAtTokenLimit(request_record&);
    void failUndeliverable(request_record&);
    // Withdraws the attempt and, when the caller needs the truth, waits for the sidecar's word.
    void giveUpAttempt(request_record&, caller_error);
    void settled(request_record&, bool mayHaveRun);
    instant nextAskAt(const live_attempt&) const;

    void handleCrash(request_record&, const offer_failed&);
    void tellEntries(const suspect_fact&);
    // Returns false while another copy of the same suspect is running.
    bool claimSuspectTurn(const request_record&);
    void passSuspectTurn(const request_record&);

    void observeSpeed(live_attempt&, const output_chunk&);
    void deliver(request_record&, const answer_assembler::piece&);
    void begin(request_record&, int status, const std::string& contentType);
    void finishWhenComplete(request_record&);
    void complete(request_record&, const std::string& finishReason, std::uint32_t promptTokens);
    void fail(request_record&, caller_error);
    void forget(request_record&);
    void withdrawAttempt(const request_record&);
    peer_identity self() const { return { m_options.id, m_options.address, m_options.incarnation }; }
    void onRequestTimer(request_record&);
    void resendWithdrawals();
    // Asks the keepers of organisations' limits for this entry's shares.
    void renewLeases();
    lease_grant answerDemands(const std::string& entryId, const std::vector<lease_demand>&);
    void refreshSubset();
    void subscribeToAll();
    void stepDocumentManager(const document_event&);
    // Time between two reports of one upstream, so that all of them stay within the stated bytes a second.
    std::chrono::milliseconds reportInterval() const;
    void stopWhenDrained();
    // Returns the request whose current attempt the answer belongs to, or null for answers of old attempts.
    request_record* findCurrent(const answer_header&);
    void log(log_level, std::string name, const request_record&, std::vector<std::pair<std::string, std::string>> more = {});

    entry_options m_options;
    document_manager m_documentManager;
    document_ptr m_document;
    upstream_directory m_directory;
    upstream_selector m_selector;
    claim_reducer m_claims;
    std::map<std::string, request_record> m_requests;
    std::unordered_map<channel_id, std::string> m_channels;
    timer_queue<std::string> m_timers;
    std::mt19937_64 m_random;
    withdrawal_list m_withdrawals;
    retry_budget m_retryBudget;
    retry_backoff m_retryBackoff;
    suspect_registry m_suspects;
    // The request whose attempt is the one running copy of a suspect, by fingerprint, and those that wait for it.
    std::map<std::uint64_t, std::string> m_suspectTurns;
    std::map<std::uint64_t, std::deque<std::string>> m_suspectWaiters;
    organisation_limiter m_limiter;
    lease_giver m_leaseGiver;
    std::optional<instant> m_nextLeaseRenewal;
    // The platform's list as last received.
    std::vector<instance> m_instances;
    // Ids of all live entries, this one included, and addresses of the others.
    std::vector<std::string> m_entryIds;
    std::map<std::string, std::string> m_entryAddresses;
    std::optional<instant> m_nextSubscribe;
    std::optional<instant> m_listenDeadline;
    std::optional<instant> m_drainDeadline;
    std::uint64_t m_nextRequest = 1;
    bool m_stopped = false;

    // Valid during step() only.
    instant m_now;
    entry_effects* m_effects = nullptr;
};

} // namespace kumquat
