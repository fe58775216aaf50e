#pragma once

#include "core/caller_error.h"
#include "core/forwarding_options.h"
#include "core/log_event.h"
#include "core/metric.h"
#include "servers/router/refusal_store.h"
#include "servers/router/router_event.h"

namespace kumquat::router {

// Send a request to an upstream, with the forwarding options of this attempt.
struct start_attempt : forwarding_options {
    attempt_number attemptNumber = 0;
    endpoint target;
    shared_request request;
    // If present, the request is sent only on a connection on which the upstream has stated this start time, in milliseconds since
    // the Unix epoch. An upstream that states another one ends the attempt as never sent.
    std::optional<std::int64_t> requiredStartUnixMs;
    // An upstream that states none at all gets the request nevertheless (upstream_unidentified).
    bool mayBeUnidentified = false;
    // Another attempt may follow if the outcome of this one stays unknown.
    bool mayBeLost = false;
};

// Close the connection of an attempt, so that the upstream stops working on it.
struct cancel_attempt {
    attempt_number attemptNumber = 0;
};

// Open a connection to an upstream and close it again, to see whether a process listens there.
struct check_connection {
    // Identifies the check in its outcome.
    std::uint64_t check = 0;
    endpoint target;
    std::chrono::milliseconds timeout {};
};

// Pause or resume reading the answer of an attempt.
struct throttle_attempt {
    attempt_number attemptNumber = 0;
    bool paused = false;
};

// Trust idle connections to upstreams for a time as after the loss of a request on one.
struct distrust_connections { };

// Close the idle connections to an upstream that was removed.
struct close_upstream_connections {
    endpoint target;
};

// Send the head of an answer to the caller; the body follows in parts.
struct start_reply {
    caller_id caller = 0;
    http_answer_head head;
};

// Send a part of the body to the caller.
struct append_reply {
    caller_id caller = 0;
    std::string bytes;
    // The attempt to throttle if the caller reads too slowly.
    attempt_number sourceAttempt = 0;
    // What is kept of the attempt's answer beyond these bytes: the beginning of the next event.
    std::size_t partialEventBytes = 0;
};

// An answer has brought no complete event, and this much of one is kept.
struct keep_partial_event {
    attempt_number attemptNumber = 0;
    std::size_t bytes = 0;
};

// The answer that was started is complete.
struct end_reply {
    caller_id caller = 0;
};

// Send a complete answer to the caller.
struct send_reply {
    caller_id caller = 0;
    http_answer_head head;
    std::string body;
};

// Answer the caller with an error of the router itself.
struct refuse_reply {
    caller_id caller = 0;
    std::string requestId;
    caller_error refusal;
};

// Close the caller's connection before the end of the answer, so that the caller sees that it is incomplete.
struct abort_reply {
    caller_id caller = 0;
};

// Read from the store: a list, or the changes since a revision.
struct read_store {
    // Identifies the read in its outcome.
    std::uint64_t read = 0;
    store_kind kind = store_kind::upstreams;
    // For a list: the name after which it continues, or empty.
    std::string after;
    // Present for a watch.
    std::optional<std::uint64_t> sinceRevision;
    // How long the store waits for a change before it answers a watch.
    std::chrono::milliseconds wait {};
};

struct cancel_store_read {
    std::uint64_t read = 0;
};

// Read or write the refused suspects in the store. cancel_store_read cancels this call too.
struct call_refusal_store {
    // Identifies the call in its outcome.
    std::uint64_t call = 0;
    refusal_call request;
};

struct send_digest {
    std::vector<std::string> addresses;
    router_digest digest;
};

struct send_stream_message {
    std::vector<std::string> addresses;
    stream_message message;
};

// Count a request of an organisation that began to run at an upstream.
struct record_run {
    std::string organisation;
    // When the first event of a stream arrived, or when another request was sent.
    instant startedAt;
};

// Apply the limits of a new configuration to the connections of callers.
struct apply_caller_limits {
    caller_limits limits;
};

// Close each caller's connection after its next answer; new connections are still accepted.
struct close_callers_after_answers { };
// Close the listener and the connections that have no request in progress.
struct close_idle_callers { };
// Refuse the requests that have not been received completely; they have not run.
struct refuse_unread_requests { };
// End the process.
struct stop_router {
    // Go on if a connection of a caller still needs the process; the effect comes again.
    bool unlessConnectionsAreOpen = false;
};

using router_effect = std::variant<start_attempt, cancel_attempt, check_connection, throttle_attempt, distrust_connections, close_upstream_connections, start_reply, append_reply, keep_partial_event, end_reply, send_reply, refuse_reply,
    abort_reply, read_store, cancel_store_read, call_refusal_store, send_digest, send_stream_message, record_run, apply_caller_limits, close_callers_after_answers, close_idle_callers, refuse_unread_requests, stop_router, log_event,
    count_metric, observe_metric>;

using router_effects = std::vector<router_effect>;

} // namespace kumquat::router
