#pragma once

#include "core/result.h"

#include <string>

namespace kumquat {

// Runs a router with the settings in the file until SIGTERM. Returns the exit code, or an error if the settings can't be
// read or a port can't be opened.
result<int> runRouter(const std::string& settingsFile);

} // namespace kumquat
