#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/log_event.h"
#include "core/metric.h"
#include "core/peer_message.h"
#include "servers/claims/claim_effect.h"
#include "servers/config/document_effect.h"
#include "servers/entry/entry_event.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat {

struct send_to_sidecar {
    std::string address;
    peer_message message;
};

struct send_to_entry {
    std::string address;
    peer_message message;
};

// Starts the answer to a caller with its status and content type.
struct begin_answer {
    channel_id channel = 0;
    std::string requestId;
    std::string model;
    answer_format format = answer_format::raw;
    int status = 200;
    std::string contentType;
};

struct append_answer {
    channel_id channel = 0;
    std::string text;
    std::uint32_t tokens = 0;
};

struct finish_answer {
    channel_id channel = 0;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

// Ends the channel with an error. If an answer has begun, the error ends its stream; otherwise it is the complete response.
struct fail_answer {
    channel_id channel = 0;
    std::string requestId;
    caller_error error;
};

// Closes the listener for callers. Answers in progress continue.
struct stop_listening { };

// Ends the process with exit code 0.
struct stop_entry { };

using entry_effect = std::variant<send_to_sidecar, begin_answer, append_answer, finish_answer, fail_answer, stop_listening, stop_entry, claim_store_call, log_event, count_metric, gauge_metric, observe_metric, assemble_document, compute_step, watch_store, repair_store, send_to_entry>;
using entry_effects = std::vector<entry_effect>;

} // namespace kumquat
