#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquat {

// One line of a process's log, read back.
struct log_line {
    // The process that wrote it, or the file that it was saved to.
    std::string source;
    // Of the writer's clock.
    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    // As it was written, from its time on.
    std::string text;

    // The value of a field, or null.
    const std::string* find(std::string_view name) const;
};

// Reads a line of key=value pairs. What stands before its time, such as the name that a collector puts there, names the
// source; else the given name does. Returns nothing for a line that has no time or no event.
std::optional<log_line> parseLogLine(std::string_view line, const std::string& sourceName);

} // namespace kumquat
