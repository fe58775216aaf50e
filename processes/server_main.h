#pragma once

#include "core/common_settings.h"
#include "core/result.h"
#include "drivers/cxxopts/command_line.h"
#include "drivers/spdlog/event_log.h"
#include "processes/document_loader.h"
#include "processes/file_reader.h"

#include <iostream>
#include <optional>
#include <string>

namespace kumquat {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Prints the error to the standard error stream and returns the exit code.
inline int reportFailure(const error& failure, int exitCode)
{
    std::cerr << failure.message << "\n";
    return exitCode;
}

// Parses the command line of a program that takes a settings file and executes it. `check` returns the error in the
// settings file, if there is one; `run` runs the program and returns its exit code.
template <typename Check, typename Run>
int commandMain(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments, Check check, Run run)
{
    const auto command = parseServerCommandLine(program, purpose, argumentCount, arguments);
    if (const auto* failure = errorOf(command))
        return reportFailure(*failure, exitUsage);
    if (const auto* print = std::get_if<print_command>(&valueOf(command))) {
        std::cout << print->text;
        return 0;
    }
    const auto& start = std::get<run_command>(valueOf(command));
    if (!start.checkOnly)
        return run(start.settingsFile);
    if (const std::optional<error> failure = check(start.settingsFile))
        return reportFailure(*failure, exitUsage);
    std::cout << start.settingsFile << ": ok\n";
    return 0;
}

// Reads a settings file and parses it with the parser of the program.
template <typename Parse>
auto loadSettings(const std::string& file, Parse parse) -> decltype(parse(file, file))
{
    const auto text = readFile(file);
    if (const auto* failure = errorOf(text))
        return *failure;
    return parse("settings '" + file + "'", valueOf(text));
}

// The main function of the server programs: parses the command line, then checks the settings file and the document
// that it names, or opens the log and runs the program.
template <typename Parse, typename Run>
int serverMain(const std::string& program, const std::string& purpose, int argumentCount, const char* const* arguments, Parse parse, Run run)
{
    const auto check = [&parse](const std::string& file) -> std::optional<error> {
        const auto settings = loadSettings(file, parse);
        if (const auto* failure = errorOf(settings))
            return *failure;
        const auto& document = valueOf(settings).common.documentFile;
        if (document.empty())
            return std::nullopt;
        const auto loaded = loadDocument(document);
        if (const auto* failure = errorOf(loaded))
            return *failure;
        return std::nullopt;
    };
    const auto start = [&](const std::string& file) {
        const auto settings = loadSettings(file, parse);
        if (const auto* failure = errorOf(settings))
            return reportFailure(*failure, exitUsage);
        openLog(program, valueOf(settings).common.logLevel);
        const auto outcome = run(valueOf(settings));
        if (const auto* failure = errorOf(outcome))
            return reportFailure(*failure, exitFailure);
        return valueOf(outcome);
    };
    return commandMain(program, purpose, argumentCount, arguments, check, start);
}

} // namespace kumquat
