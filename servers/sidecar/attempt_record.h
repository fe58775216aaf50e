#pragma once

#include "core/clock.h"
#include "core/peer_message.h"
#include "servers/sidecar/sidecar_event.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A fragment of output that is buffered until the entry acknowledges the complete answer.
struct buffered_chunk {
    std::string text;
    std::uint32_t tokens = 0;
};

// The attempt waits for a slot.
struct attempt_queued {
    // Whether the attempt has run before, was preempted and waits to resume.
    bool started = false;
};

// The attempt occupies a slot.
struct attempt_running {
    run_id run = 0;
    instant startedAt;
};

struct attempt_finished {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
};

struct attempt_failed {
    // False only if the attempt certainly never ran.
    bool started = true;
    // Whether the connection to the upstream broke before the answer was complete.
    bool crashed = false;
    error_code reason = error_code::upstream_failed;
    std::string message;
};

// The attempt never ran and never will.
struct attempt_refused {
    error_code reason = error_code::overloaded;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 };
};

// The entry has withdrawn the attempt, or has failed.
struct attempt_withdrawn {
    // Whether the attempt had started before.
    bool started = false;
};

using attempt_state = std::variant<attempt_queued, attempt_running, attempt_finished, attempt_failed, attempt_refused, attempt_withdrawn>;

// The sidecar's state of one attempt. An ended attempt is retained without its request body, as a tombstone, for
// sidecar_options::tombstoneRetention, so that a late copy of its offer does not run it again.
struct attempt_record {
    offer request;
    instant arrivedAt;
    instant deadline;
    attempt_state state = attempt_queued {};
    int status = 200;
    std::string contentType;
    std::vector<buffered_chunk> chunks;
    std::uint32_t producedTokens = 0;
};

} // namespace kumquat
