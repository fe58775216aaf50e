#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Identifies one submission of a document by an operator.
struct submission {
    std::uint64_t generation = 0;
    std::string id;
    std::string operatorName;
};

// The metadata of the published document's object in the store, without the document.
struct stored_publication {
    // Version of the object in the store; 0 when it does not exist.
    std::uint64_t storeVersion = 0;
    submission latest;
    // The most recent submissions in ascending order of generation, including the latest one.
    std::vector<submission> history;
    // Greatest generation that a node has written back to a store that had lost it. The submissions that the write
    // replaced are missing from the history. 0 when no node has ever done so.
    std::uint64_t lastRepairGeneration = 0;
};

} // namespace kumquat
