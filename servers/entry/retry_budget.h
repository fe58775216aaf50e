#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace kumquat {

// Limits the retries of each service to a fraction of its successes, so that retries cannot amplify an overload.
class retry_budget {
public:
    struct options {
        // Retries that one success adds to the budget.
        double retriesPerSuccess = 0.1;
        // Retries per second that are added without successes, so that a service that is down is still probed.
        double baseRetriesPerSecond = 1;
        // Largest balance; enough for the requests of a few upstreams that fail at the same time.
        double maxBalance = 100;
    };

    explicit retry_budget(options settings)
        : m_options(settings)
    {
    }

    void addSuccess(const std::string& service, instant now);
    // Takes one retry from the budget. Returns false when less than one is left.
    bool take(const std::string& service, instant now);

private:
    struct balance {
        double tokens = 0;
        instant refilledAt;
    };

    // Returns the balance of a service after adding the retries that have accrued over time. A new balance is full.
    balance& refilledBalance(const std::string& service, instant now);

    options m_options;
    std::map<std::string, balance> m_balances;
};

} // namespace kumquat
