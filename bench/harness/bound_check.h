#pragma once

#include "bench/harness/measurement.h"
#include "bench/harness/scenario_codec.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// The results of one scenario under each compared policy. The last run is the product's policy.
struct scenario_results {
    scenario plan;
    std::vector<run_results> runs;
};

// A bound that the product's policy does not meet.
struct missed_bound {
    // "SCENARIO/BOUND". KNOWN-RED.txt lists the same identifier after the word "bench".
    std::string id;
    std::string detail;
};

// Returns the bounds that the product's policy does not meet in one scenario.
std::vector<missed_bound> checkBounds(const scenario_results&, const bench_bounds&);

} // namespace kumquat_bench
