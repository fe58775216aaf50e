#pragma once

#include "bench/harness/measurement.h"
#include "bench/harness/scenario_codec.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// The figures of every compared policy in one scenario.
struct scenario_figures {
    scenario plan;
    std::vector<run_figures> runs;
};

// A bound that the product's policy missed.
struct missed_bound {
    // "SCENARIO/BOUND", as KNOWN-RED.txt names it.
    std::string id;
    std::string detail;
};

std::vector<missed_bound> checkBounds(const scenario_figures&, const bench_bounds&);

} // namespace kumquat_bench
