#pragma once

#include "servers/entry/upstream_directory.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Facts about a request that the choice of an upstream depends on.
struct selection_request {
    std::uint32_t tierRank = 0;
    // Upstreams that this request has already tried.
    const std::set<std::string>* tried = nullptr;
};

// Chooses the upstream with the least work in proportion to its slots, or null when none is left.
upstream_state* selectUpstream(const std::vector<upstream_state*>& candidates, const selection_request&);

} // namespace kumquat
