#pragma once

#include "core/log_event.h"
#include "core/metric.h"
#include "core/peer_message.h"
#include "servers/config/document_effect.h"
#include "servers/sidecar/sidecar_event.h"

#include <string>
#include <variant>

namespace kumquat {

// Sends a message to an entry or to another sidecar.
struct send_to_peer {
    std::string address;
    peer_message message;
};

// Starts a call of the upstream.
struct start_run {
    run_id run = 0;
    upstream_call job;
    // Rank of the tier. Smaller is more urgent.
    std::uint32_t priority = 0;
    // Output that earlier runs and attempts have produced. The upstream continues after it.
    std::string resumePrefix;
    std::uint32_t resumeTokens = 0;
};

// Closes the connection of the call, upon which the engine aborts the generation.
struct cancel_run {
    run_id run = 0;
};

// Ends the process with exit code 0.
struct stop_process { };

using sidecar_effect = std::variant<send_to_peer, start_run, cancel_run, stop_process, log_event, count_metric, gauge_metric, observe_metric, assemble_document, compute_step>;
using sidecar_effects = std::vector<sidecar_effect>;

} // namespace kumquat
