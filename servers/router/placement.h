#pragma once

#include "core/clock.h"
#include "core/proxied_request.h"
#include "servers/router/peer_group.h"
#include "servers/router/upstream_table.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquat::router {

// Takes the upstream with the fewest requests in flight.
struct least_in_flight { };

// Takes the upstream that has the least to read before the request and for it.
struct least_reading {
    // What a running stream counts, in prompt tokens.
    double streamTokens = 200;
    // What a token that is read for the request counts against one that is read before it. Reading also takes memory
    // from parts that others need.
    double readingWeight = 2;
    // The part of a prompt that is expected to be read where all routers prefer it, though this one does not know it to
    // be kept there.
    double preferredShare = 0.5;
    // What each position further down that order costs, as a part of the prompt. Routers that all see the same idle
    // upstream do not all send there.
    double positionShare = 0.1;
    // A mean backlog above this is the load of all, so that differences in backlog count less.
    double evenBacklogTokens = 6000;
};

using placement_policy = std::variant<least_in_flight, least_reading>;

struct placement_request {
    const std::vector<shared_upstream>& upstreams;
    const proxied_request& request;
    // Upstreams that have had the request.
    const std::vector<std::string>& excluded;
    std::string dataCentre;
    // What the other routers have outstanding.
    const peer_group& peers;
    instant now;
};

// The upstream chosen and what decided it.
struct placement {
    shared_upstream upstream;
    // How many upstreams could have been chosen.
    std::size_t candidates = 0;
    const char* reason = "none";
    // Prompt tokens that the upstream has to read for the request.
    double uncachedPromptTokens = 0;
};

placement place(const placement_policy&, const placement_request&);

} // namespace kumquat::router
