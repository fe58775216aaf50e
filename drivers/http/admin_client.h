#pragma once

#include "core/result.h"

#include <string>
#include <vector>

namespace kumquat {

// Fetches a path from the admin ports of several nodes in parallel and waits for all of them. Addresses have the form
// HOST:PORT. Returns one result per address, in the same order: the body, or an error that names the node when it cannot
// be reached or answers with another status than 200.
std::vector<result<std::string>> fetchFromNodes(const std::vector<std::string>& addresses, const std::string& path);

} // namespace kumquat
