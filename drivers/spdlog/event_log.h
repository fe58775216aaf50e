#pragma once

#include "core/log_event.h"

#include <string>

namespace kumquat {

// Starts logging to standard error, one line of key=value pairs for each event. Events below the level are discarded.
void openLog(const std::string& program, log_level);
// Writes the event to the log that openLog() or openBoundedLog() has set up.
void writeLog(const log_event&);
// Formats the name and fields of an event as key=value pairs. Values that are empty or contain spaces, quotes, equals signs,
// backslashes or control characters are quoted.
std::string formatFields(const log_event&);

} // namespace kumquat
