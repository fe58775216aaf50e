#pragma once

#include <string>
#include <utility>
#include <vector>

namespace kumquat {

enum class log_level { debug,
    info,
    warning,
    error };

// One log line. Fields are printed as key=value pairs in the given order.
struct log_event {
    log_level level = log_level::info;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace kumquat
