#pragma once

#include "servers/router/limited_admission.h"
#include "servers/router/upstream_table.h"

#include <chrono>
#include <optional>
#include <vector>

namespace kumquat::router {

// How long until one of the upstreams accepts requests again, if each one in service has asked for a pause; otherwise nothing.
std::optional<std::chrono::milliseconds> timeUntilUnblocked(const std::vector<shared_upstream>&, instant now);

// What limits leave to this router, if each of the upstreams that is in service names one; otherwise nothing.
std::optional<limited_supply> supplyOfLimited(const std::vector<shared_upstream>&, instant now);

} // namespace kumquat::router
