#pragma once

#include "core/document_index.h"
#include "core/peer_message.h"
#include "servers/config/document_event.h"

#include <cstdint>
#include <string>
#include <variant>

namespace kumquat {

// Names one call of the upstream, unique within a sidecar incarnation.
using run_id = std::uint64_t;

struct peer_received {
    peer_message message;
};

// The upstream accepted the call and sent its status line.
struct run_head {
    run_id run = 0;
    int status = 200;
    std::string contentType;
};

// The upstream produced output; tokens is 0 for plain services.
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
    // False only when the call certainly never reached the upstream.
    bool started = true;
    // True when the connection broke before the answer was complete.
    bool connectionBroke = false;
    // HTTP status of a refusal by the upstream, or 0.
    int status = 0;
    std::string message;
};

// A load report of the upstream itself. It lags behind the truth.
struct upstream_probed {
    bool healthy = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct document_received {
    document_ptr contents;
};

// Asks the process to leave: finish what runs and take nothing new.
struct drain_requested { };

// Time has reached the deadline that the reducer asked for.
struct timer_due { };

// News for the document keeper.
struct sidecar_document_event {
    document_event event;
};

using sidecar_event = std::variant<peer_received, run_head, run_output, run_finished, run_failed, upstream_probed, document_received, drain_requested, timer_due, sidecar_document_event>;

} // namespace kumquat
