#pragma once

#include "core/http_message.h"

#include <cstdint>
#include <string>

namespace kumquat {

// One upstream as it announced itself.
struct upstream_record {
    std::string id;
    std::string service;
    endpoint address;
    std::string dataCentre;
    // Requests that it works on at once.
    int slots = 1;
    // It accepts no new work.
    bool leaving = false;
    // When it started, in milliseconds of the Unix clock; tells an upstream from its successor with the same id.
    std::int64_t startedUnixMs = 0;

    bool operator==(const upstream_record&) const = default;
};

} // namespace kumquat
