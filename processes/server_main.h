#pragma once

#include "core/common_settings.h"
#include "core/result.h"
#include "drivers/cxxopts/command_line.h"
#include "drivers/spdlog/event_log.h"
#include "processes/document_loader.h"
#include "processes/file_reader.h"

#include <iostream>
#include <string>

namespace kumquat {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

inline int reportFailure(const error& failure, int exitCode)
{
    std::cerr << failure.message << "\n";
    return exitCode;
}

// The common main function of the server programs: command line, settings, check, run.
template <typename Parse, typename Run>
int serverMain(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments, Parse parse, Run run)
{
    const auto command = parseServerCommandLine(program, purpose, argumentCount, arguments);
    if (const auto* failure = errorOf(command))
        return reportFailure(*failure, exitUsage);
    if (const auto* print = std::get_if<print_command>(&valueOf(command))) {
        std::cout << print->text;
        return 0;
    }
    const auto& start = std::get<run_command>(valueOf(command));
    const auto text = readFile(start.settingsFile);
    if (const auto* failure = errorOf(text))
        return reportFailure(*failure, exitUsage);
    const auto settings = parse("settings '" + start.settingsFile + "'", valueOf(text));
    if (const auto* failure = errorOf(settings))
        return reportFailure(*failure, exitUsage);
    const common_settings& common = valueOf(settings).common;
    if (start.checkOnly) {
        if (!common.documentFile.empty()) {
            const auto loaded = loadDocument(common.documentFile);
            if (const auto* failure = errorOf(loaded))
                return reportFailure(*failure, exitUsage);
        }
        std::cout << start.settingsFile << ": ok\n";
        return 0;
    }
    openLog(program, common.logLevel);
    const auto outcome = run(valueOf(settings));
    if (const auto* failure = errorOf(outcome))
        return reportFailure(*failure, exitFailure);
    return valueOf(outcome);
}

} // namespace kumquat
