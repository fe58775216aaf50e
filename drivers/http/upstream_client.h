#pragma once

#include "servers/sidecar/sidecar_effect.h"
#include "servers/sidecar/sidecar_event.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// HTTP client of the upstream that a sidecar serves. It executes runs on a thread pool, probes the health of the upstream
// periodically, and reports the results of both as sidecar events. The event handler is called on this object's threads.
class upstream_client {
public:
    struct options {
        std::string host;
        int port = 0;
        service_kind kind = service_kind::engine;
        std::size_t maxRuns = 16;
        // A run fails when the upstream sends nothing for this time.
        std::chrono::seconds readTimeout { 120 };
        std::chrono::milliseconds probeInterval { 250 };
    };

    upstream_client(options, std::function<void(sidecar_event)> onEvent);
    ~upstream_client();

    // Queues a run; its events carry its run id.
    void start(const start_run&);
    // Cancels a run by closing its connection. An event that is being reported at that time may still reach the handler.
    void cancel(run_id);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
