#pragma once

#include "core/document_index.h"
#include "core/peer_message.h"
#include "servers/config/document_event.h"

#include <cstdint>
#include <string>
#include <variant>

namespace kumquat {

// Identifies one call of the upstream, unique within a sidecar incarnation.
using run_id = std::uint64_t;

// A message of an entry or of another sidecar has arrived.
struct peer_received {
    peer_message message;
};

// The upstream accepted the call and sent the head of its response.
struct run_head {
    run_id run = 0;
    int status = 200;
    std::string contentType;
};

// The upstream produced output. For plain services tokens is 0.
struct run_output {
    run_id run = 0;
    std::string text;
    std::uint32_t tokens = 0;
};

struct run_finished {
    run_id run = 0;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
};

struct run_failed {
    run_id run = 0;
    // False only if the call certainly did not reach the upstream.
    bool started = true;
    // True if the connection broke before the answer was complete.
    bool connectionBroke = false;
    // HTTP status with which the upstream refused the call, or 0.
    int status = 0;
    std::string message;
};

// The result of a health probe of the upstream, with the load that the upstream reports. The load is out of date on arrival.
struct upstream_probed {
    bool healthy = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// The configuration document to put in force.
struct document_received {
    document_ptr contents;
};

// Requests a drain: running and preempted attempts finish, waiting and new ones are refused, then the process stops.
struct drain_requested { };

// The time that nextDeadline() returned has been reached.
struct timer_due { };

// An event for the document manager.
struct sidecar_document_event {
    document_event event;
};

using sidecar_event = std::variant<peer_received, run_head, run_output, run_finished, run_failed, upstream_probed, document_received, drain_requested, timer_due, sidecar_document_event>;

} // namespace kumquat
