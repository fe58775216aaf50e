#pragma once

#include <cstdint>

namespace kumquat {

// Makes standard output the destination of the log, without ever blocking the process. Lines that the reader of standard
// output has not accepted are stored in a bounded buffer. Lines are dropped and counted when the buffer is full or when
// more lines are logged within a second than the limit. Both limits are higher for warnings and errors than for routine
// lines (info and below).
void openBoundedLog();
// Writes the buffered lines as far as standard output accepts them, and logs how many lines were dropped since the last
// such log line. The process calls it periodically.
void flushBoundedLog();
// Returns how many lines have been dropped since the log was opened.
std::uint64_t droppedLogLines();

} // namespace kumquat
