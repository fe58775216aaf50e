#pragma once

#include "core/peer_message.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

// Options of one document manager, fixed at its start.
struct document_manager_options {
    peer_identity self;
    std::string dataCentre;
    // Whether the node may be elected to watch the store. False for sidecars, which never read it.
    bool mayWatch = false;
    // Addresses from which the node requests the document while it has none, since the list of instances may be
    // unavailable.
    std::vector<std::string> bootstrapPeers;
    std::size_t watchersPerDataCentre = 2;
    // Interval at which an entry polls another watcher of its data centre, and a node without a document a bootstrap peer.
    std::chrono::milliseconds pollInterval { 2000 };
    // Time after which an unanswered request counts as failed and may be sent to another peer.
    std::chrono::milliseconds answerTimeout { 1000 };
    // Time for which a watcher that did not answer a poll is excluded from the election.
    std::chrono::milliseconds suspicionTime { 30000 };
    // Interval between attempts to write the document back to a store that lost it.
    std::chrono::milliseconds repairInterval { 2000 };
    // Bounds of the stored steps; a peer that is further behind receives the full document.
    std::size_t maxJournalSteps = 64;
    std::size_t maxJournalBytes = 256 << 10;
};

} // namespace kumquat
