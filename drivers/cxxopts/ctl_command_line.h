#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

struct validate_command {
    std::string file;
};

struct diff_command {
    std::string file;
};

struct publish_command {
    std::string file;
    std::string operatorName;
    std::optional<std::uint64_t> baseGeneration;
};

struct status_command { };

struct dump_command {
    std::string address;
};

struct explain_command {
    std::string requestId;
    // Saved logs of processes. Without any, the nodes are asked.
    std::vector<std::string> logFiles;
};

// Prints a text, such as the help or a completion script.
struct show_command {
    std::string text;
};

using ctl_command = std::variant<validate_command, diff_command, publish_command, status_command, dump_command, explain_command, show_command>;

struct ctl_command_line {
    ctl_command command;
    std::string settingsFile;
    // Empty when the settings or nothing name it.
    std::string objectApi;
    std::vector<std::string> nodes;
    bool json = false;
};

// Reads the command line of kumquat-ctl.
result<ctl_command_line> parseCtlCommandLine(int argumentCount, const char* const* arguments);

} // namespace kumquat
