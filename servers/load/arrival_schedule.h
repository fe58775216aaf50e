#pragma once

#include "servers/load/load_experiment.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace kumquat {

// One request that the experiment sends.
struct scheduled_arrival {
    // Time since the start of the experiment.
    std::chrono::microseconds at { 0 };
    // Index of the stream in the experiment.
    std::size_t stream = 0;
};

// Returns all arrivals of an experiment in order of time. Equal experiments give equal schedules.
std::vector<scheduled_arrival> scheduleArrivals(const load_experiment&);

} // namespace kumquat
