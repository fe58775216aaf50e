#pragma once

#include "core/clock.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace kumquat::router {

struct retry_allowance_options {
    // Retries as a share of the requests in the window.
    double ratio = 0.1;
    // Retries that are allowed in each window in addition to that share.
    double allowance = 4;
    // The length of the sliding window.
    duration window = std::chrono::seconds(10);
};

// Limits the retries and hedges of the requests to each service. Each router applies its own share of the limit, so that
// all routers together stay within it without exchanging messages.
class retry_allowance {
public:
    explicit retry_allowance(retry_allowance_options);

    void setOptions(retry_allowance_options);
    // Records the arrival of a request, which adds to the retries that are allowed.
    void recordFirst(const std::string& service, instant now);
    // Uses up one retry of a service. Returns false if none is left in the window.
    bool take(const std::string& service, instant now);

private:
    struct usage {
        std::deque<instant> first;
        std::deque<instant> again;
    };

    void forgetOld(usage&, instant now) const;

    retry_allowance_options m_options;
    std::unordered_map<std::string, usage> m_services;
};

} // namespace kumquat::router
