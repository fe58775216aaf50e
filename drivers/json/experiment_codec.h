#pragma once

#include "core/result.h"
#include "servers/load/load_experiment.h"
#include "servers/load/load_report.h"

#include <string>

namespace kumquat {

// Reads an experiment and checks it against its schema.
result<load_experiment> parseExperiment(const std::string& source, const std::string& text);

// Returns the body of one request; equal arguments give equal bodies.
std::string formatLoadBody(const load_stream&, std::uint64_t number);

// Writes the result of an experiment.
std::string formatLoadReport(const load_report&);

} // namespace kumquat
