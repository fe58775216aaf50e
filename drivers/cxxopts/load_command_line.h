#pragma once

#include "core/result.h"
#include "drivers/cxxopts/command_line.h"

#include <optional>
#include <string>
#include <variant>

namespace kumquat {

// Run the experiment in a file.
struct load_command {
    std::string experimentFile;
    // Empty for standard output.
    std::string outputFile;
    std::optional<std::uint64_t> seed;
};

result<std::variant<load_command, print_command>> parseLoadCommandLine(int argumentCount, const char* const* arguments);

} // namespace kumquat
