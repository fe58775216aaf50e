#include "drivers/cxxopts/command_line.h"
#include "platform/settings_decoder.h"
#include "processes/file_reader.h"
#include "processes/router_process.h"
#include "processes/server_main.h"

#include <csignal>
#include <cstdlib>
#include <vector>

namespace {

// Without --settings, the platform's variable names the settings file.
std::vector<const char*> completeArguments(int argumentCount, char** arguments)
{
    std::vector<const char*> completed(arguments, arguments + argumentCount);
    const char* path = std::getenv(kumquat::platform::settingsPathVariable);
    if (argumentCount == 1 && path) {
        completed.push_back("--settings");
        completed.push_back(path);
    }
    return completed;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto completed = completeArguments(argumentCount, arguments);
    const auto command = kumquat::parseServerCommandLine("kumquat-router", "Routes requests straight to upstreams on a platform with a store.", static_cast<int>(completed.size()), completed.data());
    if (const auto* failure = kumquat::errorOf(command))
        return kumquat::reportFailure(*failure, kumquat::exitUsage);
    if (const auto* print = std::get_if<kumquat::print_command>(&kumquat::valueOf(command))) {
        std::cout << print->text;
        return 0;
    }
    const auto& start = std::get<kumquat::run_command>(kumquat::valueOf(command));
    if (start.checkOnly) {
        const auto text = kumquat::readFile(start.settingsFile);
        if (const auto* failure = kumquat::errorOf(text))
            return kumquat::reportFailure(*failure, kumquat::exitUsage);
        const auto settings = kumquat::platform::decodeSettings("settings '" + start.settingsFile + "'", kumquat::valueOf(text));
        if (const auto* failure = kumquat::errorOf(settings))
            return kumquat::reportFailure(*failure, kumquat::exitUsage);
        std::cout << start.settingsFile << ": ok\n";
        return 0;
    }
    const auto outcome = kumquat::runRouter(start.settingsFile);
    if (const auto* failure = kumquat::errorOf(outcome))
        return kumquat::reportFailure(*failure, kumquat::exitFailure);
    return kumquat::valueOf(outcome);
}
