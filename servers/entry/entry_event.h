#pragma once

#include "core/caller_request.h"
#include "core/document_index.h"
#include "core/instance.h"
#include "core/peer_message.h"
#include "servers/claims/claim_event.h"
#include "servers/config/document_event.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace kumquat {

// Names one caller connection that waits for an answer.
using channel_id = std::uint64_t;

struct caller_arrived {
    channel_id channel = 0;
    caller_request request;
};

// The caller closed its connection before the answer was complete.
struct caller_gone {
    channel_id channel = 0;
};

struct entry_peer_received {
    peer_message message;
};

struct entry_document_received {
    document_ptr contents;
};

// The platform's list of instances, which lags behind the truth.
struct instances_listed {
    std::vector<instance> instances;
};

// Asks the process to leave: answer everything accepted and take nothing new after a grace period.
struct entry_drain_requested { };

struct entry_timer_due { };

// An answer of the object API to a call for the claims.
struct entry_claim_answered {
    claim_event answer;
};

// News for the document keeper.
struct entry_document_event {
    document_event event;
};

using entry_event = std::variant<caller_arrived, caller_gone, entry_peer_received, entry_document_received, instances_listed, entry_drain_requested, entry_timer_due, entry_claim_answered, entry_document_event>;

} // namespace kumquat
