#pragma once

#include "servers/sidecar/sidecar_effect.h"
#include "servers/sidecar/sidecar_event.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// Calls the upstream beside a sidecar and reports what happens as events. The event handler is called on threads of
// this object.
class upstream_client {
public:
    struct options {
        std::string host;
        int port = 0;
        service_kind kind = service_kind::engine;
        std::size_t maximumRuns = 16;
        // Longest silence of the upstream in the middle of an answer.
        std::chrono::seconds readTimeout { 120 };
        std::chrono::milliseconds probeInterval { 250 };
    };

    upstream_client(options, std::function<void(sidecar_event)> onEvent);
    ~upstream_client();

    void start(const start_run&);
    // Closes the call. The run may still report output that was on its way.
    void cancel(run_id);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
