#pragma once

#include "core/result.h"

#include <string>

namespace kumquat {

// Runs a router with the settings of that file until it is told to stop. Returns the exit code.
result<int> runRouter(const std::string& settingsFile);

} // namespace kumquat
