#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

// Median, 95th and 99th percentile of one duration.
struct load_percentiles {
    std::chrono::microseconds median { 0 };
    std::chrono::microseconds p95 { 0 };
    std::chrono::microseconds p99 { 0 };
};

// Result of one stream of an experiment.
struct load_stream_report {
    std::string name;
    std::string className;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t broken = 0;
    std::uint64_t unreachable = 0;
    // Requests with a complete answer that met every target of their class.
    std::uint64_t attained = 0;
    std::uint64_t tokens = 0;
    // Tokens of the requests that met their targets, for the goodput.
    std::uint64_t usefulTokens = 0;
    // Number of requests by error code.
    std::map<std::string, std::uint64_t> errors;
    // Time to the first token.
    load_percentiles firstToken;
    // Duration of the requests with a complete answer.
    load_percentiles total;
};

// Result of an experiment.
struct load_report {
    std::uint64_t seed = 0;
    std::chrono::microseconds elapsed { 0 };
    // Requests sent more than 10 ms after their scheduled time. They show that the load tool itself was too slow.
    std::uint64_t sentLate = 0;
    std::vector<load_stream_report> streams;
};

} // namespace kumquat
