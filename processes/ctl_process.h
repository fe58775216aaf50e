#pragma once

namespace kumquat {

// Runs one command of kumquat-ctl and returns its exit code.
int runCtl(int argumentCount, const char* const* arguments);

} // namespace kumquat
