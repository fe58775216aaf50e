#pragma once

#include "core/document.h"
#include "servers/sidecar/scheduling_policy.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Fixed properties of one sidecar, from its settings.
struct sidecar_options {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    std::string service;
    service_kind kind = service_kind::engine;
    std::string dataCentre;
    // Most requests that the upstream executes at once.
    std::uint32_t slots = 16;
    // Most attempts that wait for a slot.
    std::uint32_t queueLimit = 1024;
    std::chrono::milliseconds reportInterval { 1000 };
    // An entry that sends nothing for this long is taken for dead and its repeatable work is cancelled.
    std::chrono::milliseconds entryTimeout { 10000 };
    // Time for which ended attempts are remembered, so that late copies of their offers are answered alike.
    std::chrono::milliseconds tombstoneRetention { 120000 };
    // A draining sidecar stops after this time even when calls are still running.
    std::chrono::milliseconds drainLimit { 600000 };
    // A class with waiting work gets the next freed slot when it has started nothing for this long.
    std::chrono::milliseconds starvationLimit { 20000 };
    // Times that one attempt may be preempted.
    std::uint32_t preemptionLimit = 2;
    // Time for which a fingerprint that was running at a crash is suspect, unless it survives a run before.
    std::chrono::milliseconds suspicionTime { 600000 };
    // Time for which a fingerprint that crashed the upstream as the only suspect is refused.
    std::chrono::milliseconds refusalTime { 600000 };
    std::uint64_t seed = 1;
    scheduling_policy policy;
    // Peers that are asked for the document while this sidecar has none.
    std::vector<std::string> documentPeers;
};

} // namespace kumquat
