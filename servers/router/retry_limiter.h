#pragma once

#include "core/clock.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace kumquat::router {

struct retry_limiter_options {
    // Retries as a share of the requests in the window.
    double ratio = 0.1;
    // Retries that are allowed in each window in addition to that share.
    double allowance = 4;
    // The length of the sliding window.
    duration window = std::chrono::seconds(10);
};

// Limits the retries and hedges of the requests to each service. Each router applies its own share of the limit, so that
// all routers together stay within it without exchanging messages.
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_options);

    void setOptions(retry_limiter_options);
    // Records the arrival of a request, which adds to the retries that are allowed.
    void recordRequest(const std::string& service, instant now);
    // Uses up one retry of a service. Returns false if none is left in the window.
    bool takeRetry(const std::string& service, instant now);

private:
    struct retry_window {
        std::deque<instant> requests;
        std::deque<instant> retries;
    };

    void evictExpired(retry_window&, instant now) const;

    retry_limiter_options m_options;
    std::unordered_map<std::string, retry_window> m_services;
};

} // namespace kumquat::router
