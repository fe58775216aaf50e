#pragma once

#include "core/instance.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Returns the entries of one data centre that watch the store, highest score first. Rendezvous hashing gives every node
// the same answer from the same list; with unlike lists there are a few more watchers, which does no harm.
std::vector<instance> chooseWatchers(const std::vector<instance>& entries, const std::string& dataCentre, const std::set<std::string>& passedOver, std::size_t count);

} // namespace kumquat
