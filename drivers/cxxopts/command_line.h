#pragma once

#include "core/result.h"

#include <string>
#include <variant>

namespace kumquat {

// Start the program with the named settings file.
struct run_command {
    std::string settingsFile;
    // Check the settings and exit.
    bool checkOnly = false;
};

// Print a text and exit with code 0.
struct print_command {
    std::string text;
};

// Reads the command line of a server program: --settings FILE, --check, --help, --version.
result<std::variant<run_command, print_command>> parseServerCommandLine(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments);

} // namespace kumquat
