#pragma once

#include "core/result.h"
#include "drivers/cxxopts/command_line.h"

#include <optional>
#include <string>
#include <variant>

namespace kumquat {

// The command line asks to run the load experiment that a file describes.
struct load_command {
    std::string experimentFile;
    // Receives the result; empty for standard output.
    std::string outputFile;
    // Replaces the seed in the experiment file.
    std::optional<std::uint64_t> seed;
};

// Parses the command line of kumquat-load. Returns an error for unknown options and for a missing experiment file.
result<std::variant<load_command, print_command>> parseLoadCommandLine(int argumentCount, const char* const* arguments);

} // namespace kumquat
