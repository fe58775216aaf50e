#pragma once

#include "core/result.h"

#include <string>
#include <variant>

namespace kumquat {

// The command line asks to run the program with this settings file.
struct run_command {
    std::string settingsFile;
    // Check the settings and exit without serving.
    bool checkOnly = false;
};

// The command line asks for a text, such as the help or the version; the program prints it and exits with code 0.
struct print_command {
    std::string text;
};

// Parses the command line of a server program: --settings FILE, --check, --help, --version. The purpose is one sentence for
// the help text. Returns an error for unknown options and for a missing --settings.
result<std::variant<run_command, print_command>> parseServerCommandLine(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments);

} // namespace kumquat
