#pragma once

#include "core/common_settings.h"
#include "servers/sidecar/sidecar_options.h"

namespace kumquat {

struct sidecar_settings {
    common_settings common;
    sidecar_options options;
    // The upstream beside this sidecar.
    listen_address upstream;
    std::size_t bodyLimitBytes = 4 << 20;
};

} // namespace kumquat
