#pragma once

#include "core/clock.h"
#include "core/proxied_request.h"
#include "servers/router/upstream_table.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat::router {

// Takes the upstream with the fewest requests in flight.
struct least_in_flight { };

// Takes the upstream that a hash of the deepest shared prompt part prefers, unless it has far more work than the others.
struct prompt_affinity {
    // The most requests in flight, as a multiple of the mean.
    double loadBound = 1.6;
};

using placement_policy = std::variant<least_in_flight, prompt_affinity>;

struct placement_request {
    const std::vector<shared_upstream>& upstreams;
    const proxied_request& request;
    // Upstreams that have had the request.
    const std::vector<std::string>& excluded;
    std::string dataCentre;
    instant now;
};

// The upstream chosen and what decided it.
struct placement {
    shared_upstream upstream;
    // How many upstreams could have been chosen.
    std::size_t candidates = 0;
    const char* reason = "none";
};

placement place(const placement_policy&, const placement_request&);

} // namespace kumquat::router
