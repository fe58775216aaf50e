#pragma once

#include "servers/load/load_experiment.h"
#include "servers/load/load_report.h"

namespace kumquat {

// Runs an experiment, prints its progress to standard error and returns the measurements. Blocks until it ends.
load_report runLoad(const load_experiment&);

} // namespace kumquat
