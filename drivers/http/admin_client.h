#pragma once

#include "core/result.h"

#include <string>
#include <vector>

namespace kumquat {

// Reads a path from the admin ports of several nodes at once. Addresses are HOST:PORT; results are in their order.
std::vector<result<std::string>> fetchFromNodes(const std::vector<std::string>& addresses, const std::string& path);

} // namespace kumquat
