#pragma once

#include "core/clock.h"
#include "core/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// What a router learns when it starts, and again whenever its settings change.
struct router_settings {
    std::string instance;
    std::string dataCentre;
    endpoint callers;
    // Readiness, metrics and state dump.
    endpoint admin;
    endpoint store;
    // Routers may talk to each other on this port.
    std::uint16_t peerPort = 0;
    // Addresses at which other routers may be found at first. They may be out of date.
    std::vector<std::string> seeds;
    // The instance's own address, at which peers reach it.
    std::string address;
    // A key that was taken away is refused everywhere by then; requests with a key are refused when the store has been
    // out of reach for that long.
    duration revocationDeadline = std::chrono::seconds(5);
    // From SIGTERM to SIGKILL.
    duration shutdownGrace = std::chrono::seconds(8);
    // The share of a service's requests that may be sent a second time within the window, besides the allowance.
    double retryRatio = 0.1;
    double retryAllowance = 10;
    duration retryWindow = std::chrono::seconds(10);
    // How long lapsed upstream records may take to come back after an outage of the store.
    duration recordReturnTimeout = std::chrono::seconds(2);

    bool operator==(const router_settings&) const = default;
};

} // namespace kumquat
