#pragma once

#include "core/caller_error.h"
#include "core/forwarding_options.h"
#include "core/log_event.h"
#include "core/metric.h"
#include "servers/router/router_event.h"

namespace kumquat::router {

// Send a request to an upstream, on terms that are its own.
struct send_request : forwarding_options {
    send_id send = 0;
    endpoint target;
    shared_request request;
};

// Close the connection of a sending, so that the upstream stops its work.
struct cancel_send {
    send_id send = 0;
};

// Stop or go on reading an answer.
struct throttle_send {
    send_id send = 0;
    bool paused = false;
};

// Close the idle connections to an upstream that is gone.
struct forget_upstream {
    endpoint target;
};

struct start_reply {
    caller_id caller = 0;
    http_answer_head head;
};

struct extend_reply {
    caller_id caller = 0;
    std::string bytes;
    // The sending to throttle if the caller reads too slowly.
    send_id source = 0;
};

struct end_reply {
    caller_id caller = 0;
};

struct whole_reply {
    caller_id caller = 0;
    http_answer_head head;
    std::string body;
};

// Answer with an error of the router's own.
struct refuse_reply {
    caller_id caller = 0;
    std::string requestId;
    caller_error refusal;
};

// Close the caller's connection, so that it sees that its answer is incomplete.
struct break_reply {
    caller_id caller = 0;
};

// Read from the store: a list, or the changes since a revision.
struct read_store {
    std::uint64_t read = 0;
    store_kind kind = store_kind::upstreams;
    std::string after;
    std::optional<std::uint64_t> sinceRevision;
    std::chrono::milliseconds wait {};
};

struct cancel_store_read {
    std::uint64_t read = 0;
};

struct send_digest {
    std::vector<std::string> addresses;
    router_digest digest;
};

struct apply_caller_limits {
    caller_limits limits;
};

// Close connections after their answers; new callers are still served.
struct close_callers_after_answers { };
// Close the listener and the connections without a request.
struct close_idle_callers { };
struct stop_router { };

using router_effect = std::variant<send_request, cancel_send, throttle_send, forget_upstream, start_reply, extend_reply, end_reply, whole_reply, refuse_reply,
    break_reply, read_store, cancel_store_read, send_digest, apply_caller_limits, close_callers_after_answers, close_idle_callers, stop_router, log_event,
    count_metric, observe_metric>;

using router_effects = std::vector<router_effect>;

} // namespace kumquat::router
