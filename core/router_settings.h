#pragma once

#include "core/clock.h"
#include "core/duty_settings.h"
#include "core/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Settings of one router, read at start and again whenever they change.
struct router_settings {
    std::string instance;
    std::string dataCentre;
    // Listener for callers' requests.
    endpoint callers;
    // Listener for readiness, liveness and metrics.
    endpoint admin;
    endpoint store;
    // Port on which routers exchange datagrams with each other.
    std::uint16_t peerPort = 0;
    // Hosts at which other routers may be found. Digests are sent to them repeatedly, since the list may be out of date.
    std::vector<std::string> seeds;
    // Host of this instance, at which other routers reach it.
    std::string address;
    // A revoked API key is refused by all routers within this time. Requests with a key are therefore refused when the
    // store has not confirmed the configuration for nearly that long.
    duration revocationDeadline = std::chrono::seconds(5);
    // Time between SIGTERM and SIGKILL.
    duration shutdownGrace = std::chrono::seconds(8);
    // All routers together may retry this share of a service's requests within the window, plus a number of retries
    // equal to the allowance.
    double retryRatio = 0.1;
    double retryAllowance = 10;
    duration retryWindow = std::chrono::seconds(10);
    // After an outage of the store, upstreams whose records have expired stay in use for this time, in which they can
    // register again.
    duration recordReturnTimeout = std::chrono::seconds(2);
    // Absent if the routers have no duties at the platform's API.
    std::optional<duty_settings> duties;
    // Memory of the instance. Absent if the platform names none.
    std::optional<std::size_t> memoryBytes;
    // Memory for requests that have not been answered and answers that have not been sent, of all connections together. Absent for a
    // quarter of the instance's memory.
    std::optional<std::size_t> connectionBytes;
    // Descriptors of the instance. Absent if only the process's own limit holds.
    std::optional<std::size_t> maxDescriptors;

    bool operator==(const router_settings&) const = default;
};

// The memory of the instance, or that of a small machine if none is named, by which tables are bounded.
inline std::size_t memoryOf(const router_settings& settings)
{
    constexpr std::size_t unnamedMemoryBytes = 1'000'000'000;
    return settings.memoryBytes.value_or(unnamedMemoryBytes);
}

} // namespace kumquat
