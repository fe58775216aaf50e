#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// What one router has outstanding at one upstream.
struct outstanding_load {
    // A hash of the upstream's id.
    std::uint32_t upstream = 0;
    int inFlight = 0;
    int streams = 0;
    int uncachedPromptTokens = 0;
};

// A prompt part that a router has sent to an upstream, which therefore is believed to keep it.
struct cached_prompt_part {
    std::uint32_t upstream = 0;
    std::uint64_t part = 0;
    int tokens = 0;
};

// What routers tell each other several times a second. All of it is soft: a digest that is lost does no harm.
struct router_digest {
    std::string instance;
    // Tells a router from its successor on the same instance.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // This router stops; its share of everything ends.
    bool leaving = false;
    // The newest configuration that it knows, and how long ago the store confirmed to it that there was none newer.
    std::uint64_t configRevision = 0;
    std::optional<std::chrono::milliseconds> configAge;
    std::uint64_t upstreamRevision = 0;
    // Addresses of the routers that it hears.
    std::vector<std::string> members;
    std::vector<outstanding_load> loads;
    std::vector<cached_prompt_part> parts;
    // Fingerprints of requests that were in progress when their upstream crashed, each with its crashes.
    std::vector<std::pair<std::uint64_t, int>> suspects;
};

} // namespace kumquat
