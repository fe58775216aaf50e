#pragma once

#include "core/common_settings.h"
#include "servers/entry/entry_options.h"

#include <vector>

namespace kumquat {

struct entry_settings {
    common_settings common;
    entry_options options;
    listen_address callers;
    std::size_t bodyLimitBytes = 4 << 20;
    // Most caller connections served at once; each takes a thread.
    std::uint32_t callerThreads = 256;
    // Sidecars of a site without an instance list.
    std::vector<instance> upstreams;
};

} // namespace kumquat
