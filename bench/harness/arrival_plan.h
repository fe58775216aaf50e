#pragma once

#include "bench/harness/caller_record.h"
#include "bench/harness/scenario.h"

#include <vector>

namespace kumquat_bench {

// Returns every caller of a scenario in order of arrival, drawn from the scenario's seed. The policy has no influence, so
// all policies are compared on the same callers.
std::vector<caller_record> planArrivals(const scenario&, instant start);

// Returns the arrival rate of a phase in requests per second.
double arrivalRate(const scenario&, const traffic_phase&);

} // namespace kumquat_bench
