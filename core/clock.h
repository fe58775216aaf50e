#pragma once

#include <chrono>
#include <string>

namespace kumquat {

// A point on the monotonic clock. Reducers receive it as an argument, so tests and benches run in virtual time.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// A duration for a log line, in whole milliseconds.
inline std::string formatMilliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace kumquat
