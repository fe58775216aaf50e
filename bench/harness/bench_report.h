#pragma once

#include "bench/harness/bound_check.h"

#include <string>

namespace kumquat_bench {

// Prints one scenario as a table, one line for each policy and class.
std::string formatTable(const scenario_figures&);

// Writes the figures of one scenario as JSON.
std::string formatFigures(const scenario_figures&);

// Writes the script with which gnuplot draws the attainment of each class under each policy.
std::string formatPlot(const scenario_figures&, const std::string& output);

} // namespace kumquat_bench
