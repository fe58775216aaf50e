#pragma once

#include "core/caller_error.h"

#include <string>

namespace kumquat {

// Formats the JSON body of an error answer to a caller.
std::string formatErrorBody(const std::string& requestId, const caller_error&);

} // namespace kumquat
