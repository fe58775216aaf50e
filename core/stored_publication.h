#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Names one act of publishing a document.
struct submission {
    std::uint64_t generation = 0;
    std::string id;
    std::string operatorName;
};

// What the store's object says of itself, without the document.
struct stored_publication {
    // Version of the object in the store; 0 when it does not exist.
    std::uint64_t storeVersion = 0;
    submission latest;
    // The latest submissions in ascending order of generation, the present one included.
    std::vector<submission> history;
    // Greatest generation that a node has written back to a store that lost it; what stood there before is not in the
    // history. 0 when that never happened.
    std::uint64_t lastRepair = 0;
};

} // namespace kumquat
