#pragma once

#include "servers/entry/entry_reducer.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <string>

namespace kumquat {

// Format the state of a process as JSON for its admin port. Request bodies, answers and keys are omitted.
std::string dumpEntry(const entry_reducer&, instant now);
std::string dumpSidecar(const sidecar_reducer&, instant now);

} // namespace kumquat
