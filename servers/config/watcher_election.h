#pragma once

#include "core/instance.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Returns the entries of one data centre that watch the store, highest score first. Rendezvous hashing elects the same
// entries on every node that has the same list. Nodes with different lists may elect a few more watchers, which costs
// only additional reads of the store.
std::vector<instance> electWatchers(const std::vector<instance>& entries, const std::string& dataCentre, const std::set<std::string>& excluded, std::size_t count);

} // namespace kumquat
