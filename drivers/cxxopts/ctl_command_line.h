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
    // Empty if --as is absent; the settings then name the operator.
    std::string operatorName;
    // The generation that the document is based on. Absent if --base is not given; the document may then name it.
    std::optional<std::uint64_t> baseGeneration;
};

struct status_command { };

struct dump_command {
    // Admin address of the node, as HOST:PORT.
    std::string address;
};

struct explain_command {
    std::string requestId;
    // Saved logs of processes. If there are none, the nodes are queried instead.
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
    // Address of the object API; empty if the command line does not name it.
    std::string objectApi;
    // Admin addresses of the nodes; empty if the command line names none.
    std::vector<std::string> nodes;
    // Print JSON instead of text.
    bool json = false;
};

// Parses the command line of kumquat-ctl. Returns an error for an unknown command or option and for a wrong number of
// arguments.
result<ctl_command_line> parseCtlCommandLine(int argumentCount, const char* const* arguments);

} // namespace kumquat
