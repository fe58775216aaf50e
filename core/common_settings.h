#pragma once

#include "core/instance.h"
#include "core/log_event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Where an HTTP listener binds.
struct listen_address {
    std::string host = "127.0.0.1";
    int port = 0;
};

// Where the platform's object API is reached; an empty host means that there is none.
struct object_api_address {
    std::string host;
    int port = 0;
};

// Settings that every program has.
struct common_settings {
    listen_address admin;
    log_level logLevel = log_level::info;
    object_api_address objectApi;
    // File with the document, for a site without an object API.
    std::string documentFile;
    // Shared by all processes of the system, to authenticate their messages. Never logged.
    std::string networkKey;
};

} // namespace kumquat
