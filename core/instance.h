#pragma once

#include <string>

namespace kumquat {

// One instance in the platform's list.
struct instance {
    std::string id;
    // "entry" or "sidecar".
    std::string role;
    // Service of the upstream beside a sidecar; empty for entries.
    std::string service;
    std::string dataCentre;
    // Address of the instance's peer listener.
    std::string address;
    bool leaving = false;
};

} // namespace kumquat
