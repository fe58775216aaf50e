#pragma once

#include "core/instance.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Limits the number of sidecars that one entry uses and subscribes to.
struct subset_options {
    // Number of sidecars over all services, which is divided equally among the services. The two minimums below may raise the
    // total above it.
    std::size_t linkLimit = 96;
    // Minimum number of sidecars of one service, however many services there are.
    std::size_t minSubsetSize = 3;
    // Minimum number of entries that should use each sidecar. With few entries this enlarges their subsets.
    std::size_t minEntriesPerSidecar = 3;
};

struct subset_request {
    std::string entryId;
    std::string dataCentre;
    // Live entries, this one included.
    std::size_t entryCount = 1;
    // Ids of sidecars that are listed but do not report; they are not selected.
    std::set<std::string> notReporting;
    subset_options options;
};

// Selects the subset of sidecars that an entry uses, by rendezvous hashing: the result depends on the arguments alone, and a
// change of the list changes few members. Most members are in the entry's own data centre; the others are taken in turn
// from the remaining data centres.
std::vector<instance> chooseSubset(const std::vector<instance>&, const subset_request&);

} // namespace kumquat
