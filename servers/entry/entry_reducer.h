#pragma once

#include "core/timer_queue.h"
#include "servers/claims/claim_reducer.h"
#include "servers/config/document_manager.h"
#include "servers/entry/entry_effect.h"
#include "servers/entry/entry_options.h"
#include "servers/entry/lease_allocator.h"
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

// Routes the requests of callers: it selects an upstream for each request, retries on another one after refusals and
// failures, and delivers every answer complete, in order and without duplicates. It does no input or output itself: step()
// takes an event and returns effects, which the process performs.
class entry_reducer {
public:
    explicit entry_reducer(entry_options);

    // Applies one event and appends the effects that the process has to perform.
    void step(const entry_event&, instant now, entry_effects&);

    // Returns the time at which the next entry_timer_due event has to be passed in, or nothing when no timer is set.
    std::optional<instant> nextDeadline() const;

    // Read access for the state dump and for tests.
    const entry_options& options() const { return m_options; }
    const std::map<std::string, request_record>& requests() const { return m_requests; }
    const claim_reducer& claims() const { return m_claims; }
    const upstream_directory& upstreams() const { return m_directory; }
    const document_manager& documentManager() const { return m_documentManager; }
    bool draining() const { return m_drainDeadline.has_value(); }
    std::uint64_t generation() const;
    // Whether the entry can serve new requests: it has a document and is not draining.
    bool ready() const { return m_document && !draining(); }

private:
    void handle(const caller_arrived&);
    void handle(const caller_disconnected&);
    void handle(const entry_peer_received&);
    void handle(const entry_document_received&);
    void handle(const instances_listed&);
    void handle(const entry_drain_requested&);
    void handle(const entry_timer_due&);
    void handle(const entry_claim_event&);
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
    // Claims the request's idempotency key in the claim store. Requests that are not repeatable and carry a key are dispatched
    // only after the claim has been granted.
    void claimKey(request_record&, const caller_request&);
    void storeAnswer(const request_record&, const std::string& finishReason, std::uint32_t promptTokens);
    void stepClaims(const claim_event&);
    void apply(const claim_granted&);
    void apply(const claim_answered&);
    void apply(const claim_denied&);
    void apply(const send_claim_message&);
    void apply(const query_sidecars&);
    // Passes store calls, log events and metrics on as effects of the entry.
    template <typename Other>
    void apply(const Other& effect) { m_effects->push_back(effect); }

    void receive(const suspect_notice&);
    void receive(const lease_request&);
    void receive(const lease_grant&);
    // Ignores the remaining message types, which only sidecars receive.
    template <typename Other>
    void receive(const Other&) { }

    void accept(request_record, const caller_request&);
    void dispatch(request_record&);
    // Returns null when no upstream can be offered the request now.
    upstream_state* selectUpstream(request_record&);
    upstream_state* selectFromWindows(const request_record&);
    upstream_state* selectUntried(const std::vector<upstream_state*>&, const request_record&);
    void startAttempt(request_record&, upstream_state&);
    void sendOffer(request_record&);
    void endAttempt(request_record&);

    // Ends an attempt that certainly did not run, and tries another upstream at once.
    void retryRefused(request_record&, caller_error);
    // Ends an attempt that ran or may have run. The request is retried after a back-off if it may run again and the retry
    // budget of its service allows it; otherwise it fails.
    void retryFailed(request_record&, caller_error);
    bool mayRetry(const request_record&) const;
    // Discards buffered output that the engine cannot continue, and allows upstreams that have been tried again once all have.
    void prepareRetry(request_record&);
    bool finishAtTokenLimit(request_record&);
    void failUndeliverable(request_record&);
    // Withdraws the attempt. If the request must not run twice, it then waits for the sidecar to answer whether the attempt
    // ran, because that decides between a retry and an unknown outcome.
    void abandonAttempt(request_record&, caller_error);
    // Ends the attempt that abandonAttempt() has withdrawn: the request is retried, or fails at its deadline.
    void finishWithdrawal(request_record&, bool mayHaveRun);
    instant nextResendTime(const live_attempt&) const;

    void handleCrash(request_record&, const offer_failed&);
    void announceSuspect(const suspect_fact&);
    // Acquires the right to run a suspect request, which one request per fingerprint has at a time. Returns false and queues
    // the request while another one has it. Always returns true for a request that is not suspect.
    bool acquireSuspectLock(const request_record&);
    void releaseSuspectLock(const request_record&);

    void observeSpeed(live_attempt&, const output_chunk&);
    void deliver(request_record&, const answer_assembler::fragment&);
    void startAnswer(request_record&, int status, const std::string& contentType);
    void finishWhenComplete(request_record&);
    void completeRequest(request_record&, const std::string& finishReason, std::uint32_t promptTokens);
    void failRequest(request_record&, caller_error);
    // Answers every request that is in progress, at the end of a drain.
    void failAllRequests();
    void removeRequest(request_record&);
    void withdrawAttempt(const request_record&);
    peer_identity self() const { return { m_options.id, m_options.address, m_options.incarnation }; }
    void onRequestTimer(request_record&);
    void resendWithdrawals();
    // Requests this entry's shares of the organisations' limits from the entries that allocate them.
    void renewLeases();
    lease_grant grantLeases(const std::string& entryId, const std::vector<lease_demand>&);
    void refreshSubset();
    void subscribeToAll();
    void stepDocumentManager(const document_event&);
    // Returns the time between two reports of one upstream at which the reports of all upstreams stay within
    // reportBytesPerSecond.
    std::chrono::milliseconds reportInterval() const;
    void stopWhenDrained();
    // Returns the request whose current attempt the message belongs to, or null for messages of earlier attempts. Records
    // that the sidecar has answered.
    request_record* findByCurrentAttempt(const answer_header&);
    void log(log_level, std::string name, const request_record&, std::vector<std::pair<std::string, std::string>> extraFields = {});

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
    // By fingerprint: the id of the request that may run the suspect, and the ids of those that wait until it has ended.
    std::map<std::uint64_t, std::string> m_suspectLocks;
    std::map<std::uint64_t, std::deque<std::string>> m_suspectWaiters;
    organisation_limiter m_limiter;
    lease_allocator m_leaseAllocator;
    std::optional<instant> m_nextLeaseRenewal;
    // The platform's most recent list of instances.
    std::vector<instance> m_instances;
    // Ids of all entries that are listed and not leaving, this one included, and addresses of the others.
    std::vector<std::string> m_entryIds;
    std::map<std::string, std::string> m_entryAddresses;
    std::optional<instant> m_nextSubscriptionAt;
    std::optional<instant> m_stopListeningAt;
    std::optional<instant> m_drainDeadline;
    std::uint64_t m_nextRequest = 1;
    bool m_stopped = false;

    // Valid during step() only.
    instant m_now;
    entry_effects* m_effects = nullptr;
};

} // namespace kumquat
