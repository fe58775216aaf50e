#pragma once

#include "core/http_message.h"

#include <cstdint>
#include <string>

namespace kumquat {

// One upstream as it has registered itself in the store.
struct upstream_record {
    std::string id;
    std::string service;
    endpoint address;
    std::string dataCentre;
    // Version of its software. Versions are compared for equality only; their order means nothing.
    std::string version;
    // Number of requests that it processes at the same time.
    int slots = 1;
    // Whether it is shutting down and accepts no new requests.
    bool leaving = false;
    // Start time in milliseconds since the Unix epoch, or 0 when unknown. Distinguishes an upstream from its successor
    // with the same id.
    std::int64_t startedUnixMs = 0;

    bool operator==(const upstream_record&) const = default;
};

} // namespace kumquat
