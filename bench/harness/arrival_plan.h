#pragma once

#include "bench/harness/caller_record.h"
#include "bench/harness/scenario.h"

#include <vector>

namespace kumquat_bench {

// Draws every caller of a scenario, in order of arrival. Equal scenarios give equal callers, whatever the policy.
std::vector<caller_record> planArrivals(const scenario&, instant start);

// Returns the requests a second that a phase stands for.
double arrivalRate(const scenario&, const traffic_phase&);

} // namespace kumquat_bench
