#pragma once

#include "core/connection_outcome.h"
#include "core/crash_report.h"
#include "core/proxied_request.h"
#include "core/router_digest.h"
#include "core/router_settings.h"
#include "core/routing_config.h"
#include "core/store_object.h"
#include "core/stream_message.h"
#include "core/upstream_answer.h"
#include "core/upstream_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kumquat::router {

// Identifies a caller's connection, which has at most one request in progress.
using caller_id = std::uint64_t;
// Identifies one attempt of a request at an upstream.
using attempt_number = std::uint64_t;

struct request_arrived {
    caller_id caller = 0;
    shared_request request;
};

// The caller has closed its connection before its answer was complete.
struct caller_left {
    caller_id caller = 0;
};

// The process is at a bound, and ends the caller's request to relieve it. Its connection is closed after the answer.
struct caller_evicted {
    caller_id caller = 0;
};

// The send buffer of the caller's connection has drained, so that more of the answer can be sent.
struct caller_ready {
    caller_id caller = 0;
};

// The head of an upstream's answer has arrived.
struct answer_started {
    attempt_number attemptNumber = 0;
    upstream_answer answer;
};

// A part of the body of an upstream's answer has arrived.
struct answer_continued {
    attempt_number attemptNumber = 0;
    std::string bytes;
    // The process is short of memory for answers.
    bool memoryIsShort = false;
};

// An upstream's answer is complete.
struct answer_ended {
    attempt_number attemptNumber = 0;
};

// The connection of an attempt failed before the answer was complete.
struct attempt_aborted {
    attempt_number attemptNumber = 0;
    // Part of the request was written, so the upstream may have received and run it.
    bool requestSent = false;
    std::string reason;
    // What came of opening a connection for the attempt.
    connection_outcome outcome = connection_outcome::unknown;
    // The connection had rested and ended at once, without a byte of an answer: the upstream had dropped it before, or has just crashed.
    bool connectionDropped = false;
    // The router itself ended the answer, since it held too much of the memory. That says nothing of a crash.
    bool endedAtMemoryBound = false;
};

// The check of an upstream's connections has ended.
struct connection_checked {
    std::uint64_t check = 0;
    connection_outcome outcome = connection_outcome::unknown;
};

// A read of the upstream records has ended.
struct upstreams_read {
    std::uint64_t read = 0;
    store_read_outcome<upstream_record> outcome;
    // The era of the store that answered; absent if there was no answer or it named none.
    std::optional<std::uint64_t> era;
};

// A read of the configuration has ended.
struct config_read {
    std::uint64_t read = 0;
    store_read_outcome<shared_config> outcome;
    // As in upstreams_read.
    std::optional<std::uint64_t> era;
};

// A part of the answer to a read of the store has arrived.
struct store_read_progressed {
    std::uint64_t read = 0;
};

// A list of the refused suspects in the store has ended.
struct refusals_listed {
    std::uint64_t call = 0;
    store_read_outcome<aged_suspect> outcome;
    // As in upstreams_read.
    std::optional<std::uint64_t> era;
};

// A write of a refused suspect to the store has ended.
struct refusal_written {
    std::uint64_t call = 0;
    store_write_outcome outcome = store_write_outcome::failed;
    // Why it failed.
    std::string reason;
    // As in upstreams_read.
    std::optional<std::uint64_t> era;
};

// Another router's digest has arrived from this address.
struct digest_received {
    std::string address;
    router_digest digest;
};

// A message of another router about a stream has arrived from this address.
struct stream_message_received {
    std::string address;
    stream_message message;
};

// The instance was suspended for this long, so anything that was recently confirmed may be out of date.
struct clock_jumped {
    duration gap {};
};

// The process did not run for this long, while the clock went on. Messages that are read now may have waited as long.
struct process_stalled {
    duration gap {};
};

struct settings_changed {
    router_settings settings;
};

// The upstream of an attempt does not answer when it is asked for its start, and gets the request without having stated it.
struct upstream_unidentified {
    attempt_number attemptNumber = 0;
};

// The process has received SIGTERM.
struct termination_requested { };

// The time that nextDeadline returned has come.
struct router_timer_due { };

using router_event = std::variant<request_arrived, caller_left, caller_evicted, caller_ready, answer_started, answer_continued, answer_ended, attempt_aborted, upstream_unidentified, connection_checked,
    upstreams_read, config_read, store_read_progressed, refusals_listed, refusal_written, digest_received, stream_message_received, clock_jumped, process_stalled, settings_changed, termination_requested, router_timer_due>;

} // namespace kumquat::router
