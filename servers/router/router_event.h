#pragma once

#include "core/proxied_request.h"
#include "core/router_digest.h"
#include "core/router_settings.h"
#include "core/routing_config.h"
#include "core/store_object.h"
#include "core/upstream_answer.h"
#include "core/upstream_record.h"

#include <cstdint>
#include <string>
#include <variant>

namespace kumquat::router {

// Names a caller's connection; it has one request in progress at most.
using caller_id = std::uint64_t;
// Names one sending of a request to an upstream.
using send_id = std::uint64_t;

struct request_arrived {
    caller_id caller = 0;
    shared_request request;
};

// The caller has closed its connection before its answer was whole.
struct caller_left {
    caller_id caller = 0;
};

// The caller has read enough for more of its answer to be sent.
struct caller_ready {
    caller_id caller = 0;
};

struct answer_started {
    send_id send = 0;
    upstream_answer answer;
};

struct answer_continued {
    send_id send = 0;
    std::string bytes;
};

struct answer_ended {
    send_id send = 0;
};

struct send_failed {
    send_id send = 0;
    // Some of the request may have reached the upstream.
    bool sent = false;
    std::string reason;
};

struct upstreams_read {
    std::uint64_t read = 0;
    store_read_outcome<upstream_record> outcome;
};

struct config_read {
    std::uint64_t read = 0;
    store_read_outcome<shared_config> outcome;
};

struct digest_received {
    std::string address;
    router_digest digest;
};

// The process stood still while time went on. What it held for fresh may be old.
struct clock_jumped {
    duration gap {};
};

struct settings_changed {
    router_settings settings;
};

struct termination_requested { };

struct router_timer_due { };

using router_event = std::variant<request_arrived, caller_left, caller_ready, answer_started, answer_continued, answer_ended, send_failed,
    upstreams_read, config_read, digest_received, clock_jumped, settings_changed, termination_requested, router_timer_due>;

} // namespace kumquat::router
