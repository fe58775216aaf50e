#pragma once

#include "bench/harness/bound_check.h"

#include <string>

namespace kumquat_bench {

// Formats the results of one scenario as a text table with one line for each policy and class.
std::string formatTable(const scenario_results&);

// Formats the results of one scenario as JSON.
std::string formatJson(const scenario_results&);

// Returns a gnuplot script that plots the attainment of each class under each policy to the given SVG file.
std::string formatPlot(const scenario_results&, const std::string& output);

} // namespace kumquat_bench
