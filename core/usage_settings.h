#pragma once

#include <chrono>

namespace kumquat {

// How the use of upstreams is counted and reported.
struct usage_settings {
    // The length of a window. Windows are counted from the Unix epoch on.
    std::chrono::milliseconds window {};
    // How long an announcement is valid after the holder has made it.
    std::chrono::milliseconds leaseDuration {};
    // A report is due this long after the end of its window.
    std::chrono::milliseconds reportDeadline {};

    bool operator==(const usage_settings&) const = default;
};

} // namespace kumquat
