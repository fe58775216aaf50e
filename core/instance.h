#pragma once

#include <string>

namespace kumquat {

// One instance as listed by the platform.
struct instance {
    std::string id;
    // "entry" or "sidecar".
    std::string role;
    // Service of the upstream that the sidecar serves; empty for entries.
    std::string service;
    std::string dataCentre;
    // Address of the listener for messages from other instances.
    std::string address;
    // Whether the instance is shutting down and accepts no new work.
    bool leaving = false;
};

} // namespace kumquat
