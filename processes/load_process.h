#pragma once

#include "servers/load/load_experiment.h"
#include "servers/load/load_report.h"

namespace kumquat {

// Runs an experiment to its end, with progress on standard error.
load_report runLoad(const load_experiment&);

} // namespace kumquat
