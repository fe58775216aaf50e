#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace kumquat {

// Bounds the retries of each service to a share of its successes, so that retries cannot multiply an overload.
class retry_budget {
public:
    struct options {
        // Retries earned by one success.
        double shareOfSuccesses = 0.1;
        // Retries earned without successes, so that a service that is down is still probed.
        double floorPerSecond = 1;
        // Most retries saved up; enough for the requests of a few upstreams that fail at once.
        double limit = 100;
    };

    explicit retry_budget(options settings)
        : m_options(settings)
    {
    }

    void addSuccess(const std::string& service, instant now);
    // Spends one retry; returns false when none is left.
    bool take(const std::string& service, instant now);

private:
    struct balance {
        double tokens = 0;
        instant refilledAt;
    };

    balance& refilled(const std::string& service, instant now);

    options m_options;
    std::map<std::string, balance> m_balances;
};

} // namespace kumquat
