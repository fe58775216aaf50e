#pragma once

#include "core/document.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// Equal gaps between requests.
struct constant_arrivals {
    double perSecond = 1;
};

// Independent requests with exponentially distributed gaps.
struct poisson_arrivals {
    double perSecond = 1;
};

// A number of requests at one time, as at a change of shifts.
struct burst_arrivals {
    // Time since the start of the experiment.
    std::chrono::milliseconds at { 0 };
    std::uint32_t count = 1;
};

// A Poisson process whose rate rises linearly from a base to a peak in the middle of the experiment and falls again.
struct festival_arrivals {
    double basePerSecond = 1;
    double peakPerSecond = 2;
};

using arrival_pattern = std::variant<constant_arrivals, poisson_arrivals, burst_arrivals, festival_arrivals>;

// Requests of one class and one organisation.
struct load_stream {
    std::string name;
    std::string className;
    // API key of the organisation.
    std::string key;
    // Path of a completion endpoint, or of a plain HTTP service.
    std::string path = "/v1/chat/completions";
    std::string model;
    std::uint32_t promptWords = 50;
    std::uint32_t maxOutputTokens = 64;
    // Whether each request carries its own idempotency key.
    bool idempotencyKeys = false;
    latency_targets targets;
    arrival_pattern arrivals;
};

// The load that kumquat-load generates, read from a JSON file.
struct load_experiment {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration { 10000 };
    // Base addresses of the entries, used in rotation, such as "http://127.0.0.1:18080".
    std::vector<std::string> entries;
    std::vector<load_stream> streams;
};

} // namespace kumquat
