#include "platform/settings_decoder.h"
#include "processes/router_process.h"
#include "processes/server_main.h"

#include <csignal>
#include <cstdlib>
#include <vector>

namespace {

// Adds --settings with the path from the platform's environment variable if there are no arguments.
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
    const auto check = [](const std::string& file) -> std::optional<kumquat::error> {
        const auto settings = kumquat::loadSettings(file, kumquat::platform::decodeSettings);
        if (const auto* failure = kumquat::errorOf(settings))
            return *failure;
        return std::nullopt;
    };
    const auto run = [](const std::string& file) {
        const auto outcome = kumquat::runRouter(file);
        if (const auto* failure = kumquat::errorOf(outcome))
            return kumquat::reportFailure(*failure, kumquat::exitFailure);
        return kumquat::valueOf(outcome);
    };
    return kumquat::commandMain("kumquat-router", "Routes requests directly to upstreams on a platform with a store.", static_cast<int>(completed.size()), completed.data(), check, run);
}
