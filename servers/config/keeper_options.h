#pragma once

#include "core/peer_message.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

// Fixed properties of one document keeper.
struct keeper_options {
    peer_identity self;
    std::string dataCentre;
    // False for sidecars, which never read the store.
    bool mayWatch = false;
    // Addresses that are asked while this node has no document, since the list of instances may be unavailable.
    std::vector<std::string> bootstrapPeers;
    std::size_t watchersPerDataCentre = 2;
    // Interval at which a node that does not watch asks one of its watchers.
    std::chrono::milliseconds pollInterval { 2000 };
    // A request without an answer is repeated to another peer after this time.
    std::chrono::milliseconds answerTimeout { 1000 };
    // A watcher that left a request unanswered is passed over for this long.
    std::chrono::milliseconds suspicionTime { 30000 };
    // Interval at which a store that lost the document is repaired.
    std::chrono::milliseconds repairInterval { 2000 };
    // Kept steps; a peer that is further behind receives the whole document.
    std::size_t journalSteps = 64;
    std::size_t journalBytes = 256 << 10;
};

} // namespace kumquat
