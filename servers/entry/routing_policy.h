#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

namespace kumquat {

// Baseline policy: the usable upstreams of a service in turn.
struct round_robin_routing { };

// Baseline policy: the upstream with the fewest requests per slot, counting the requests of the same or a higher tier in its
// last report and the requests of any tier that this entry has sent since.
struct least_loaded_routing { };

// Default policy: power of two choices by expected wait, with prefix affinity and straggler detection.
struct expected_wait_routing {
    // Upstreams drawn at random and compared for each request.
    std::uint32_t choices = 2;
    // Added to the expected wait of an upstream in another data centre than the entry's own.
    std::chrono::milliseconds remotePenalty { 5 };
    // Largest reduction of the expected wait for a cached prompt prefix. The bound keeps a popular prefix from overloading one
    // upstream.
    std::chrono::milliseconds maxPrefixBonus { 300 };
};

using routing_policy = std::variant<expected_wait_routing, least_loaded_routing, round_robin_routing>;

} // namespace kumquat
