#pragma once

#include "core/instance.h"
#include "core/peer_message.h"
#include "core/versioned_document.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// A document was read from a file, or assembled from what a peer sent.
struct document_opened {
    versioned_document_ptr document;
    // The steps that led to it; empty for a whole document.
    std::vector<document_step> steps;
};

// What a peer sent does not lead to a valid document of the announced version.
struct document_rejected {
    std::string message;
};

// The store's object was read. The document is null when the object does not exist.
struct store_document_read {
    versioned_document_ptr document;
    std::uint64_t storeVersion = 0;
};

// The step that make_step asked for.
struct step_made {
    document_step step;
};

// A peer named its version in a report or a subscription.
struct peer_version_seen {
    peer_identity peer;
    document_version version;
};

struct keeper_peers_listed {
    std::vector<instance> instances;
};

struct keeper_timer_due { };

using keeper_event = std::variant<document_opened, document_rejected, store_document_read, step_made, peer_version_seen, document_request, document_difference, full_document, keeper_peers_listed, keeper_timer_due>;

} // namespace kumquat
