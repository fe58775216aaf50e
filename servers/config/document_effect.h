#pragma once

#include "core/log_event.h"
#include "core/metric.h"
#include "core/peer_message.h"
#include "core/versioned_document.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// Sends a message to the same component of another node.
struct send_document_message {
    std::string address;
    peer_message message;
};

// Puts the document in force on this node.
struct adopt_document {
    versioned_document_ptr document;
};

// Applies the steps to the base, or parses the full text when there is no base. Answered by document_loaded or
// document_rejected.
struct assemble_document {
    document_version announcedVersion;
    versioned_document_ptr base;
    std::vector<document_step> steps;
    std::string fullText;
};

// Computes the step between two documents. Answered by step_computed.
struct compute_step {
    versioned_document_ptr from;
    versioned_document_ptr to;
};

// Starts or stops watching the store's object.
struct watch_store {
    bool enabled = false;
};

// Writes the document back to a store that lost it, if the store's object still has the given version.
struct repair_store {
    std::uint64_t storeVersion = 0;
    versioned_document_ptr document;
};

using document_effect = std::variant<send_document_message, adopt_document, assemble_document, compute_step, watch_store, repair_store, log_event, count_metric>;
using document_effects = std::vector<document_effect>;

} // namespace kumquat
