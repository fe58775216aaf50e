#pragma once

#include "core/document.h"
#include "servers/sidecar/scheduling_policy.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// The options of one sidecar, from its settings. They do not change while the process runs.
struct sidecar_options {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    std::string service;
    service_kind kind = service_kind::engine;
    std::string dataCentre;
    // Maximum number of requests that the upstream executes at once.
    std::uint32_t slots = 16;
    // Maximum number of attempts that wait for a slot and have never run. Preempted attempts are not counted.
    std::uint32_t queueLimit = 1024;
    // Interval at which due reports are sent and silent entries are detected.
    std::chrono::milliseconds reportInterval { 1000 };
    // An entry that sends nothing for this long is assumed to have failed. Its waiting attempts are cancelled, and its running
    // ones if they are repeatable.
    std::chrono::milliseconds entryTimeout { 10000 };
    // Time for which ended attempts are retained, so that late copies of their offers get the same answer.
    std::chrono::milliseconds tombstoneRetention { 120000 };
    // A draining sidecar stops after this time even if runs have not ended.
    std::chrono::milliseconds drainLimit { 600000 };
    // A class with waiting attempts gets the next freed slot if it has nothing running and has started nothing for this long.
    std::chrono::milliseconds starvationLimit { 20000 };
    // A class with waiting attempts gets the next freed slot if it has started nothing for this long.
    std::chrono::milliseconds maxStartInterval { 50000 };
    // Maximum number of preemptions of one attempt.
    std::uint32_t preemptionLimit = 2;
    // Time for which a fingerprint that was running during a crash is a suspect, unless a run of it ends properly before.
    std::chrono::milliseconds suspicionTime { 600000 };
    // Time for which a fingerprint is refused that was the only running suspect when the upstream crashed.
    std::chrono::milliseconds refusalTime { 600000 };
    std::uint64_t seed = 1;
    scheduling_policy policy;
    // Addresses of the peers from which this sidecar requests the document while it has none.
    std::vector<std::string> documentPeers;
};

} // namespace kumquat
