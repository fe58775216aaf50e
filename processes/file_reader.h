#pragma once

#include "core/result.h"

#include <string>

namespace kumquat {

// Returns the content of a file, or an error that names the file and the cause.
result<std::string> readFile(const std::string& path);

} // namespace kumquat
