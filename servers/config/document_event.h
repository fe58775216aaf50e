#pragma once

#include "core/instance.h"
#include "core/peer_message.h"
#include "core/versioned_document.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A document was read from a file, or assembled from what a peer sent.
struct document_loaded {
    versioned_document_ptr document;
    // The steps from the previous document to it; empty if its full text was read.
    std::vector<document_step> steps;
};

// A peer's message did not yield a valid document of the announced version.
struct document_rejected {
    std::string message;
};

// The store's object was read. The document is null when the object does not exist.
struct store_document_read {
    versioned_document_ptr document;
    std::uint64_t storeVersion = 0;
};

// Result of the compute_step effect.
struct step_computed {
    document_step step;
};

// A report or a subscription of a peer contained the peer's document version.
struct peer_version_seen {
    peer_identity peer;
    document_version version;
};

// The platform's list of instances was read.
struct document_peers_listed {
    std::vector<instance> instances;
};

struct document_timer_due { };

using document_event = std::variant<document_loaded, document_rejected, store_document_read, step_computed, peer_version_seen, document_request, document_difference, full_document, document_peers_listed, document_timer_due>;

} // namespace kumquat
