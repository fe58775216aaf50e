#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

namespace kumquat {

// Baseline: the usable upstreams of a service in turn.
struct round_robin_routing { };

// Baseline: the upstream with the least reported and own work.
struct least_loaded_routing { };

// The product's policy: power of two choices on expected wait, with prefix affinity and straggler detection.
struct expected_wait_routing {
    // Upstreams drawn at random and compared for each request.
    std::uint32_t choices = 2;
    // Cost of leaving the entry's own data centre.
    std::chrono::milliseconds remotePenalty { 5 };
    // Most waiting that a cached prompt prefix may outweigh, so that a popular prefix cannot overload one upstream.
    std::chrono::milliseconds prefixBonusLimit { 300 };
};

using routing_policy = std::variant<expected_wait_routing, least_loaded_routing, round_robin_routing>;

} // namespace kumquat
