#pragma once

#include "core/clock.h"
#include "core/proxied_request.h"
#include "servers/router/peer_group.h"
#include "servers/router/upstream_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat::router {

// Selects the upstream with the fewest requests in flight per slot.
struct least_in_flight { };

// Selects the upstream with the least prefill work: uncached prompt tokens of the requests that are ahead, and of the
// request itself. Running streams and a low prefix affinity add to the cost of an upstream. Requests without prompt
// parts are placed by least_in_flight.
struct least_prefill {
    // The cost of a running stream, in prompt tokens.
    double streamCostTokens = 200;
    // The weight of an uncached token of the request itself against one of the backlog. It is above 1 because prefill also
    // evicts cached prompt parts that other requests need.
    double prefillWeight = 2;
    // The upstream with the highest prefix affinity is assumed to have at most this share of a prompt uncached, since other
    // routers may have sent the prompt there without this one knowing.
    double affinityUncachedShare = 0.5;
    // The cost of each further position in the order of prefix affinity, as a share of the prompt. It keeps routers that all
    // see the same idle upstream from all sending there.
    double affinityPositionShare = 0.1;
    // Above this mean backlog per upstream, in tokens, all upstreams are loaded, and differences in backlog are scaled down.
    double saturatedBacklogTokens = 6000;
    // Sensitive streams leave their reserved engines when each of them has this share of its slots in use.
    double fullEngineShare = 0.75;
    // The cost of an upstream in another data centre for a stream with reserved engines, in prompt tokens. A packet that is lost
    // between data centres delays the events behind it.
    double remoteStreamCostTokens = 600;
};

using placement_policy = std::variant<least_in_flight, least_prefill>;

struct placement_request {
    const std::vector<shared_upstream>& upstreams;
    const proxied_request& callerRequest;
    // Ids of the upstreams to which the request was sent before.
    const std::vector<std::string>& excluded;
    std::string dataCentre;
    // Knows the load of the other routers at each upstream.
    const peer_group& peers;
    instant now;
    // Only upstreams with this versionKey are eligible, or all if it is absent.
    std::optional<std::uint64_t> version;
    // If present, this share of the engines of each data centre is reserved for streams that bear only short gaps, and the others for
    // the rest (gap_protection).
    std::optional<double> reservedShare;
    // Whether the request is one of those streams.
    bool isGapSensitive = false;
    // The attempt is made in addition to another one that is still running, so it uses up no limit of an upstream.
    bool isAdditional = false;
};

// The selected upstream, and what the log says of the selection.
struct placement {
    // Null if no upstream accepts the request.
    shared_upstream upstream;
    // The number of upstreams among which the policy selected. Those in back-off count only if there are no others.
    std::size_t candidates = 0;
    // The name of the policy that selected the upstream, or "none".
    const char* reason = "none";
    // Prompt tokens of the request that the upstream is not expected to have cached. least_in_flight does not estimate
    // them and returns 0.
    double uncachedPromptTokens = 0;
};

// Selects an upstream for a request by the policy.
placement place(const placement_policy&, const placement_request&);

} // namespace kumquat::router
