#pragma once

#include <cstdint>

namespace kumquat {

// Sends the log to standard output without ever blocking. Lines that the reader does not take in time wait in a bounded
// buffer; when it is full, or when more routine lines come in a second than the limit, lines are dropped and counted.
// Warnings and errors have room of their own.
void openBoundedLog();
// Writes what waits, as far as the reader takes it, and reports dropped lines. Called now and then.
void flushBoundedLog();
// Lines dropped since the start.
std::uint64_t droppedLogLines();

} // namespace kumquat
