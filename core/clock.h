#pragma once

#include <chrono>

namespace kumquat {

// A point on the monotonic clock. Reducers receive it as an argument, so tests and benches run in virtual time.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

} // namespace kumquat
