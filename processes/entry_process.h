#pragma once

#include "core/result.h"
#include "servers/entry/entry_settings.h"

namespace kumquat {

// Runs an entry process until it has drained, and returns its exit code. Returns an error when a listener or the initial
// document cannot be opened.
result<int> runEntry(const entry_settings&);

} // namespace kumquat
