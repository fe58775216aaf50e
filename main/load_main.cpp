#include "drivers/cxxopts/load_command_line.h"
#include "drivers/json/experiment_codec.h"
#include "processes/file_reader.h"
#include "processes/load_process.h"

#include <fstream>
#include <iostream>

namespace {

using namespace kumquat;

constexpr int exitBroken = 1;
constexpr int exitUsage = 2;

int fail(const error& failure)
{
    std::cerr << failure.message << "\n";
    return exitUsage;
}

// A broken answer is a fault of the system under test and fails the run; a refusal does not.
int exitCodeFor(const load_report& report)
{
    for (const auto& stream : report.streams) {
        if (stream.broken > 0)
            return exitBroken;
    }
    return 0;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto parsed = parseLoadCommandLine(argumentCount, arguments);
    if (const auto* failure = errorOf(parsed))
        return fail(*failure);
    if (const auto* print = std::get_if<print_command>(&valueOf(parsed))) {
        std::cout << print->text;
        return 0;
    }
    const auto& command = std::get<load_command>(valueOf(parsed));
    const auto text = readFile(command.experimentFile);
    if (const auto* failure = errorOf(text))
        return fail(*failure);
    auto experiment = parseExperiment("experiment '" + command.experimentFile + "'", valueOf(text));
    if (const auto* failure = errorOf(experiment))
        return fail(*failure);
    if (command.seed)
        valueOf(experiment).seed = *command.seed;
    const auto report = runLoad(valueOf(experiment));
    const auto output = formatLoadReport(report) + "\n";
    if (command.outputFile.empty()) {
        std::cout << output;
        return exitCodeFor(report);
    }
    std::ofstream file(command.outputFile);
    file << output;
    if (!file.flush())
        return fail({ "result file '" + command.outputFile + "' cannot be written" });
    return exitCodeFor(report);
}
