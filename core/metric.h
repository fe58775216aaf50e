#pragma once

#include <string>
#include <utility>
#include <vector>

namespace kumquat {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Adds to a counter.
struct count_metric {
    std::string name;
    metric_labels labels;
    double amount = 1;
};

// Sets a gauge.
struct gauge_metric {
    std::string name;
    metric_labels labels;
    double value = 0;
};

// Adds one duration in seconds to a histogram.
struct observe_metric {
    std::string name;
    metric_labels labels;
    double seconds = 0;
};

} // namespace kumquat
