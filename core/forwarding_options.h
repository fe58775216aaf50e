#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// What the router adds to a caller's request when it forwards the request to an upstream.
struct forwarding_options {
    std::string upstreamId;
    // Empty for requests without an API key.
    std::string organisation;
    // Time until the deadline of the request.
    duration timeLeft {};
    // From 0, the most urgent, to 9.
    int urgency = 5;
    // Id of the last stream event that the caller has received from an earlier attempt; the upstream continues after
    // it.
    std::optional<std::uint64_t> resumeAfter;
    // Whether the upstream is a model engine. Only engines are sent the urgency.
    bool targetsEngine = false;
};

} // namespace kumquat
