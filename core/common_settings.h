#pragma once

#include "core/instance.h"
#include "core/log_event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Address to which an HTTP listener binds.
struct listen_address {
    std::string host = "127.0.0.1";
    int port = 0;
};

// Address of the platform's object API; the host is empty when there is no such API.
struct object_api_address {
    std::string host;
    int port = 0;
};

// Settings that all programs have in common.
struct common_settings {
    listen_address admin;
    log_level logLevel = log_level::info;
    object_api_address objectApi;
    // Path of the file that contains the document, for a deployment without an object API.
    std::string documentFile;
    // Secret that all processes of the system share and with which they authenticate their messages. Never logged.
    std::string networkKey;
};

} // namespace kumquat
