#pragma once

#include "bench/harness/cluster_simulation.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// Measurements over all callers of one class under one policy. Times are in seconds.
struct class_results {
    std::string name;
    std::uint32_t tierRank = 0;
    bool isPlain = false;
    // Whether the peak load of this class alone fits the capacity that no fault takes away.
    bool demandFits = true;
    std::size_t arrived = 0;
    std::size_t answered = 0;
    // Rejected because their organisation exceeded its own rate or concurrency limit. Attainment does not count them.
    std::size_t limited = 0;
    // Failed with the guarantee that the request has not run.
    std::size_t refused = 0;
    // Failed after the request ran or may have run.
    std::size_t failed = 0;
    // Disconnected before the end of the answer.
    std::size_t disconnected = 0;
    // Fraction of the callers within their limits whose answer met the latency targets of the class.
    double attainment = 0;
    // The same fraction for letterFirstTokenTarget and letterBetweenTokensTarget.
    double letterAttainment = 0;
    // Output tokens per second in answers that met the targets of the class.
    double goodput = 0;
    // Output tokens that engines generated, and those of them that are in no complete answer.
    double computedTokens = 0;
    double wastedTokens = 0;
    // 95th percentiles of the time to first token and of the mean time between tokens.
    double firstTokenP95 = 0;
    double betweenTokensP95 = 0;
    // Longest time to first token, or to the end of a request without one.
    double maxWait = 0;
    // Longest time without a completed answer while callers of the class were waiting.
    double longestStarvation = 0;
};

// Measurements of one policy in one scenario.
struct run_results {
    std::string policy;
    std::vector<class_results> classes;
    double goodput = 0;
    double wastedShare = 0;
    // Highest number of engines that one request crashed.
    std::size_t maxCrashesByOneRequest = 0;
    // Number of attempts shed while a lower tier occupied the capacity.
    std::size_t inversions = 0;
    std::vector<violation> violations;
    // Events handled by the reducers.
    std::uint64_t steps = 0;
};

// Returns the measurements of a simulation that has run. Callers that crash engines on purpose are left out.
run_results measure(const cluster_simulation&, const std::string& policy);

} // namespace kumquat_bench
