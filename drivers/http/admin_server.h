#pragma once

#include "core/result.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// Serves /healthz, /readyz, /metrics and /dump for operators and the platform.
class admin_server {
public:
    struct handlers {
        std::function<bool()> isReady;
        std::function<std::string()> metricsText;
        std::function<std::string()> dumpText;
    };

    static result<std::unique_ptr<admin_server>> open(const std::string& host, int port, handlers);
    ~admin_server();
    void start();

private:
    struct implementation;
    explicit admin_server(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
