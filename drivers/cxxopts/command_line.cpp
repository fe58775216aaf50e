#include "drivers/cxxopts/command_line.h"

#include <cxxopts.hpp>

namespace kumquat {

result<std::variant<run_command, print_command>> parseServerCommandLine(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments)
{
    using command = std::variant<run_command, print_command>;
    cxxopts::Options options(program, purpose);
    options.add_options()("settings", "Read the settings from this JSON file", cxxopts::value<std::string>(), "FILE")("check", "Check the settings and exit")("help", "Print this text")("version", "Print the version");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help"))
            return command { print_command { options.help() } };
        if (parsed.count("version"))
            return command { print_command { program + " " + KUMQUAT_VERSION + "\n" } };
        if (!parsed.unmatched().empty())
            return error { program + ": argument '" + parsed.unmatched().front() + "' is not expected" };
        if (!parsed.count("settings"))
            return error { program + ": option --settings FILE is missing; see --help" };
        return command { run_command { parsed["settings"].as<std::string>(), parsed.count("check") > 0 } };
    } catch (const cxxopts::exceptions::exception& failure) {
        return error { program + ": " + failure.what() };
    }
}

} // namespace kumquat
