#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquat {

// One parsed line of a process's log.
struct log_line {
    // Name of the process that wrote the line, or of the log file if the line does not name the process.
    std::string source;
    // Time by the clock of the process that wrote the line.
    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    // The line as it was written, from `time=` on.
    std::string text;

    // Returns the value of a field, or null.
    const std::string* find(std::string_view name) const;
};

// Parses a line of key=value pairs. The last word before `time=`, such as a name that a log collector adds, becomes the
// source; without one, sourceName does. Returns nothing for a line without a valid time or without an event.
std::optional<log_line> parseLogLine(std::string_view line, const std::string& sourceName);

} // namespace kumquat
