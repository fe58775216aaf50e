#pragma once

#include <variant>

namespace kumquat {

// Baseline: the usable upstreams of a service in turn.
struct round_robin_routing { };

// Baseline: the upstream with the least reported and own work.
struct least_loaded_routing { };

// The product's policy: power of two choices on expected wait, with prefix affinity and straggler detection.
struct expected_wait_routing { };

using routing_policy = std::variant<expected_wait_routing, least_loaded_routing, round_robin_routing>;

} // namespace kumquat
