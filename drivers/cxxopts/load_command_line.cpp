#include "drivers/cxxopts/load_command_line.h"

#include <cxxopts.hpp>

namespace kumquat {

result<std::variant<load_command, print_command>> parseLoadCommandLine(int argumentCount, const char* const* arguments)
{
    using command = std::variant<load_command, print_command>;
    cxxopts::Options options("kumquat-load", "Sends an open-loop load to entries and checks every answer.");
    options.add_options()("experiment", "JSON file that describes the load", cxxopts::value<std::string>(), "FILE")("output", "Write the result to this file instead of standard output", cxxopts::value<std::string>(), "FILE")("seed", "Use this seed instead of the file's", cxxopts::value<std::uint64_t>(), "N")("help", "Print this text")("version", "Print the version");
    options.parse_positional("experiment");
    options.positional_help("FILE");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help"))
            return command { print_command { options.help() } };
        if (parsed.count("version"))
            return command { print_command { "kumquat-load " KUMQUAT_VERSION "\n" } };
        if (!parsed.count("experiment"))
            return error { "kumquat-load: the experiment FILE is missing; see --help" };
        load_command load { .experimentFile = parsed["experiment"].as<std::string>() };
        if (parsed.count("output"))
            load.outputFile = parsed["output"].as<std::string>();
        if (parsed.count("seed"))
            load.seed = parsed["seed"].as<std::uint64_t>();
        return command { load };
    } catch (const cxxopts::exceptions::exception& failure) {
        return error { std::string("kumquat-load: ") + failure.what() };
    }
}

} // namespace kumquat
