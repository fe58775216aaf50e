#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// What the router adds to a request for an upstream.
struct forwarding_options {
    std::string upstreamId;
    // Empty for requests without a key.
    std::string organisation;
    duration timeLeft {};
    // From 0, the most urgent, to 9.
    int urgency = 5;
    std::optional<std::uint64_t> resumeAfter;
    // The engine knows about urgency.
    bool targetsEngine = false;
};

} // namespace kumquat
