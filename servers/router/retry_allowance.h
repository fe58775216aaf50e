#pragma once

#include "core/clock.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace kumquat::router {

struct retry_allowance_options {
    // Second sends as a share of first ones.
    double ratio = 0.1;
    // Second sends that are allowed besides, in each window.
    double allowance = 4;
    duration window = std::chrono::seconds(10);
};

// Bounds how often requests are sent to a service once more. Each router keeps to its own share, so that the whole
// stays within the bound without any message between routers.
class retry_allowance {
public:
    explicit retry_allowance(retry_allowance_options);

    void setOptions(retry_allowance_options);
    void recordFirst(const std::string& service, instant now);
    // Takes one second send from the budget; false if none is left.
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
