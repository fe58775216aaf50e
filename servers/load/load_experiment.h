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

// A number of requests at one moment, as at a shift change.
struct burst_arrivals {
    std::chrono::milliseconds at { 0 };
    std::uint32_t count = 1;
};

// A rate that rises from a base to a peak in the middle of the experiment and falls again.
struct festival_arrivals {
    double basePerSecond = 1;
    double peakPerSecond = 2;
};

using arrival_pattern = std::variant<constant_arrivals, poisson_arrivals, burst_arrivals, festival_arrivals>;

// Requests of one class and organisation.
struct load_stream {
    std::string name;
    std::string className;
    std::string key;
    // Path of a completion, or of a plain service.
    std::string path = "/v1/chat/completions";
    std::string model;
    std::uint32_t promptWords = 50;
    std::uint32_t maximumTokens = 64;
    // Whether each request carries an idempotency key of its own.
    bool idempotencyKeys = false;
    latency_targets targets;
    arrival_pattern arrivals;
};

// What the load tool does, read from a JSON file.
struct load_experiment {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration { 10000 };
    // Base addresses of entries, used in turn, such as "http://127.0.0.1:18080".
    std::vector<std::string> entries;
    std::vector<load_stream> streams;
};

} // namespace kumquat
