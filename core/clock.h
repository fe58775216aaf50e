#pragma once

#include <chrono>
#include <string>

namespace kumquat {

// A point in time on the monotonic clock. Reducers receive the present time as an argument and never read the clock, so
// that tests and benchmarks can run them in virtual time.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Formats a duration for a log line, in whole milliseconds, rounded towards zero.
inline std::string formatMilliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace kumquat
