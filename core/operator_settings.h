#pragma once

#include "core/common_settings.h"

#include <string>
#include <vector>

namespace kumquat {

// Settings of the operators' tools.
struct operator_settings {
    object_api_address objectApi;
    // Admin addresses of nodes, HOST:PORT.
    std::vector<std::string> nodes;
    std::string operatorName;
};

} // namespace kumquat
