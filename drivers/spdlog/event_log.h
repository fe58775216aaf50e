#pragma once

#include "core/log_event.h"

#include <string>

namespace kumquat {

// Starts logging to standard error, one line of key=value pairs for each event. Level is "debug", "info", "warning" or "error".
void openLog(const std::string& program, log_level);
void writeLog(const log_event&);
// Formats the fields of an event, quoting values that contain spaces, quotes or control characters.
std::string formatFields(const log_event&);

} // namespace kumquat
