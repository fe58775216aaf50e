#pragma once

#include "core/common_settings.h"
#include "servers/entry/entry_options.h"

#include <vector>

namespace kumquat {

// Settings file of an entry process.
struct entry_settings {
    common_settings common;
    entry_options options;
    listen_address callers;
    std::size_t bodyLimitBytes = 4 << 20;
    // Caller connections that are served concurrently; each needs a thread.
    std::uint32_t callerThreads = 256;
    // Static list of sidecars, for a site whose platform provides no list of instances.
    std::vector<instance> upstreams;
};

} // namespace kumquat
