#pragma once

#include "core/result.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// HTTP server on a process's admin port, for operators and the platform. /healthz answers 200 while the process runs,
// /readyz answers 200 or 503, /metrics serves Prometheus text and /dump the state of the process as JSON.
class admin_server {
public:
    // Called on the server's threads.
    struct handlers {
        std::function<bool()> isReady;
        std::function<std::string()> metricsText;
        std::function<std::string()> dumpText;
    };

    // Binds the port; fails if the address is in use or not available.
    static result<std::unique_ptr<admin_server>> open(const std::string& host, int port, handlers);
    ~admin_server();
    // Starts serving on a separate thread.
    void start();

private:
    struct implementation;
    explicit admin_server(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
