#pragma once

#include "core/instance.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Bounds the sidecars that one entry keeps in touch with.
struct subset_options {
    // Sidecars over all services; each service has an equal share of them.
    std::size_t linkLimit = 96;
    // Fewest sidecars of one service, however many services there are.
    std::size_t smallestSubset = 3;
    // Fewest entries that every sidecar should have, which enlarges the subsets where entries are few.
    std::size_t entriesPerSidecar = 3;
};

struct subset_request {
    std::string entryId;
    std::string dataCentre;
    // Live entries, this one included.
    std::size_t entryCount = 1;
    // Sidecars that are listed but do not report; they take up no place in a subset.
    std::set<std::string> silent;
    subset_options options;
};

// Chooses the sidecars that an entry uses. The choice depends on the arguments alone, and a change of the list changes
// few places. Most places go to the entry's own data centre, the others in turn to the remaining ones.
std::vector<instance> chooseSubset(const std::vector<instance>&, const subset_request&);

} // namespace kumquat
