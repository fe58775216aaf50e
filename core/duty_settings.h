#pragma once

#include "core/clock.h"
#include "core/http_message.h"

#include <chrono>

namespace kumquat {

// The duties that the routers perform at the platform's API, each by one router at a time.
struct duty_settings {
    // Where the calls of the duties go.
    endpoint platformApi;
    // Whether the routers report how many requests each organisation has run.
    bool reportsUsage = false;
    // Limits all calls to the platform's API, in calls a second.
    double callsPerSecond = 0;
    // Limits the calls of duties, from all routers together, in calls a second.
    double dutyCallsPerSecond = 0;
    // A router becomes the holder after another one only when that one has not renewed its lease for this time.
    duration leaseDuration = std::chrono::seconds(3);
    // The time that one report covers.
    duration windowLength = std::chrono::seconds(5);
    // A report is due this long after the end of its window.
    duration reportDeadline = std::chrono::seconds(10);

    bool operator==(const duty_settings&) const = default;
};

} // namespace kumquat
