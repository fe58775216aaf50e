#pragma once

#include "core/result.h"
#include "servers/sidecar/sidecar_settings.h"

namespace kumquat {

// Runs a sidecar process until it has drained, and returns its exit code. Returns an error if it cannot start.
result<int> runSidecar(const sidecar_settings&);

} // namespace kumquat
