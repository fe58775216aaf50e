#pragma once

#include "core/result.h"
#include "servers/sidecar/sidecar_settings.h"

namespace kumquat {

// Runs a sidecar until it has drained. Returns an error when it cannot start.
result<int> runSidecar(const sidecar_settings&);

} // namespace kumquat
