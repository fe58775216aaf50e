#pragma once

#include "core/common_settings.h"
#include "servers/sidecar/sidecar_options.h"

namespace kumquat {

// The settings file of a sidecar process.
struct sidecar_settings {
    common_settings common;
    sidecar_options options;
    // Address of the upstream that this sidecar serves.
    listen_address upstream;
    // Maximum size of a request or answer body in a peer message.
    std::size_t bodyLimitBytes = 4 << 20;
};

} // namespace kumquat
