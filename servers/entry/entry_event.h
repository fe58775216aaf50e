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

// Identifies one caller connection that waits for an answer.
using channel_id = std::uint64_t;

struct caller_arrived {
    channel_id channel = 0;
    caller_request request;
};

// The caller closed its connection before the answer was complete.
struct caller_disconnected {
    channel_id channel = 0;
};

struct entry_peer_received {
    peer_message message;
};

struct entry_document_received {
    document_ptr contents;
};

// The platform's list of instances. It lags behind the actual state: it may lack new instances and name stopped ones.
struct instances_listed {
    std::vector<instance> instances;
};

// Starts draining: the entry stops listening after a grace period, finishes the accepted requests and then stops.
struct entry_drain_requested { };

struct entry_timer_due { };

// The object API's response to a claim_store_call, or its failure.
struct entry_claim_event {
    claim_event event;
};

// An event for the document manager that this entry contains.
struct entry_document_event {
    document_event event;
};

using entry_event = std::variant<caller_arrived, caller_disconnected, entry_peer_received, entry_document_received, instances_listed, entry_drain_requested, entry_timer_due, entry_claim_event, entry_document_event>;

} // namespace kumquat
