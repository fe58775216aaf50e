#pragma once

#include "servers/entry/entry_reducer.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <string>

namespace kumquat {

// Writes the state of a process as JSON for its admin port. Bodies, answers and keys are left out.
std::string dumpEntry(const entry_reducer&, instant now);
std::string dumpSidecar(const sidecar_reducer&, instant now);

} // namespace kumquat
