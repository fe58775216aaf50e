#pragma once

#include "core/result.h"
#include "servers/load/load_experiment.h"
#include "servers/load/load_report.h"

#include <string>

namespace kumquat {

// Parses an experiment and validates it against its schema. Errors name the source, the JSON pointer and the value.
result<load_experiment> parseExperiment(const std::string& source, const std::string& text);

// Returns the body of the stream's request with this number. The result depends on the arguments only.
std::string formatLoadBody(const load_stream&, std::uint64_t number);

// Formats the result of an experiment as JSON.
std::string formatLoadReport(const load_report&);

} // namespace kumquat
