#pragma once

namespace kumquat {

// Runs one command of kumquat-ctl and returns its exit code: 0 if it succeeded, 1 if it was refused, 2 if the command
// line or the settings are wrong, 3 if the outcome is unknown.
int runCtl(int argumentCount, const char* const* arguments);

} // namespace kumquat
