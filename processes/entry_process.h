#pragma once

#include "core/result.h"
#include "servers/entry/entry_settings.h"

namespace kumquat {

// Runs an entry until it has drained. Returns an error when it cannot start.
result<int> runEntry(const entry_settings&);

} // namespace kumquat
