#pragma once

#include "core/timer_queue.h"
#include "servers/claims/claim_reducer.h"
#include "servers/config/document_keeper.h"
#include "servers/entry/entry_effect.h"
#include "servers/entry/entry_options.h"
#include "servers/entry/request_record.h"
#include "servers/entry/upstream_directory.h"
#include "servers/entry/upstream_selector.h"

#include <map>
#include <optional>
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
    const document_keeper& keeper() const { return m_keeper; }
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
    void handle(const entry_keeper_event&);

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
    void receive(const document_whole&);
    // Requests of entries are never addressed to an entry.
    template <typename Other>
    void receive(const Other&) { }

    // Not-repeatable requests with an idempotency key hold a claim before they are dispatched.
    void claimKey(request_record&, const caller_request&);
    void stepClaims(const claim_event&);
    void apply(const claim_granted&);
    void apply(const claim_answered&);
    void apply(const claim_denied&);
    void apply(const send_claim_message&);
    void apply(const ask_sidecars&);
    // Store calls, log lines and metrics are passed on.
    template <typename Other>
    void apply(const Other& effect) { m_effects->push_back(effect); }

    void dispatch(request_record&);
    void sendOffer(request_record&);
    void attemptEnded(request_record&);
    // Tries another upstream when that is safe, else fails the request.
    void retryOrFail(request_record&, caller_error);
    bool mayRetry(const request_record&) const;
    void observeSpeed(live_attempt&, const output_chunk&);
    void deliver(request_record&, const answer_assembler::piece&);
    void begin(request_record&, int status, const std::string& contentType);
    void finishWhenComplete(request_record&);
    void fail(request_record&, caller_error);
    void forget(request_record&);
    void withdrawAttempt(request_record&);
    void onRequestTimer(request_record&);
    void subscribeToAll();
    void stepKeeper(const keeper_event&);
    void stopWhenDrained();
    // Returns the request whose current attempt the answer belongs to, or null for answers of old attempts.
    request_record* findCurrent(const answer_header&);
    void log(log_level, std::string name, const request_record&, std::vector<std::pair<std::string, std::string>> more = {});

    entry_options m_options;
    document_keeper m_keeper;
    document_ptr m_document;
    upstream_directory m_directory;
    upstream_selector m_selector;
    claim_reducer m_claims;
    std::map<std::string, request_record> m_requests;
    std::unordered_map<channel_id, std::string> m_channels;
    timer_queue<std::string> m_timers;
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
