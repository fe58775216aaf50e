#pragma once

#include <string>
#include <utility>
#include <vector>

namespace kumquat {

enum class log_level { debug,
    info,
    warning,
    error };

// One log line. The fields are printed as key=value pairs in the order of the list.
struct log_event {
    log_level level = log_level::info;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace kumquat
