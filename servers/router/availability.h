#pragma once

#include "core/caller_error.h"
#include "servers/router/upstream_table.h"

#include <vector>

namespace kumquat::router {

// Returns the error for a request that no upstream of its service has accepted and that has not run: why, and when to come back.
caller_error describeUnavailability(const std::vector<shared_upstream>& upstreams, instant now);

} // namespace kumquat::router
