#pragma once

#include <chrono>

namespace kumquat::router {

// A read of the store fails if nothing arrives for this time: from its start for a page of a list, from the end of its watch timeout
// for a watch, and from the last part that arrived for both.
constexpr auto readTimeout = std::chrono::milliseconds(900);
// The store confirms to at least one of the routers within this time that nothing has changed, unless it is silent or this router is
// cut off.
constexpr auto maxConfirmationGap = std::chrono::milliseconds(2000);

} // namespace kumquat::router
