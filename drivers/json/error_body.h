#pragma once

#include "core/caller_error.h"

#include <string>

namespace kumquat {

// Writes the JSON body of an error for a caller.
std::string formatErrorBody(const std::string& requestId, const caller_error&);

} // namespace kumquat
