#pragma once

#include "core/clock.h"
#include "core/store_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// The unfinished requests that one router has sent to one upstream.
struct outstanding_load {
    // Hash of the upstream's id.
    std::uint32_t upstream = 0;
    // Number of requests in flight.
    int inFlight = 0;
    // Number of those requests that have delivered their first event.
    int streams = 0;
    // Of the requests that have not delivered an event yet.
    int uncachedPromptTokens = 0;
};

// A prompt part that a router has sent to an upstream and that the upstream therefore probably has in its prefix cache.
struct cached_prompt_part {
    // Hash of the upstream's id.
    std::uint32_t upstream = 0;
    // Id of the prompt part.
    std::uint64_t part = 0;
    int tokens = 0;
};

// An upstream whose answer to a router stated that it is shutting down.
struct leaving_upstream {
    std::string id;
    // As in upstream_record; a successor under the same id is not leaving.
    std::int64_t startedUnixMs = 0;

    bool operator==(const leaving_upstream&) const = default;
};

// State that each router sends to the other routers several times a second. The state is advisory, so a lost digest is
// not sent again.
struct router_digest {
    std::string instance;
    // Distinguishes a router from its successor on the same instance.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // The router is shutting down and has no requests left, so receivers discard its load and stop counting it.
    bool leaving = false;
    // The era of the store in its last answer to the router.
    std::uint64_t storeEra = 0;
    // The newest position at which the router has read the configuration, and the time since the store last confirmed to
    // the router itself that there was no newer one.
    store_position configPosition;
    std::optional<std::chrono::milliseconds> configAge;
    // The version of the configuration in force, or 0. After a restore of the store it may be newer than the version at
    // configPosition.
    std::uint64_t configVersion = 0;
    // The newest position of an upstream record that the router has read.
    store_position upstreamPosition;
    // Addresses of the routers from which it receives digests.
    std::vector<std::string> members;
    std::vector<outstanding_load> loads;
    // Prompt parts sent to upstreams since the previous digest.
    std::vector<cached_prompt_part> cachedParts;
    // Upstreams whose answers to the router itself stated a short time ago that they are shutting down.
    std::vector<leaving_upstream> leavingUpstreams;
    // Fingerprints of requests that were in progress when their upstream crashed, each with its number of crashes.
    std::vector<std::pair<std::uint64_t, int>> suspects;
};

} // namespace kumquat
