#pragma once

#include "core/common_settings.h"

#include <string>
#include <vector>

namespace kumquat {

// Settings of the operators' command-line tools.
struct operator_settings {
    object_api_address objectApi;
    // Addresses of the nodes' admin listeners, each as HOST:PORT.
    std::vector<std::string> nodes;
    // Recorded with each document that the operator publishes.
    std::string operatorName;
};

} // namespace kumquat
