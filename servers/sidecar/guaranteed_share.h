#pragma once

#include "servers/sidecar/class_terms.h"
#include "servers/sidecar/queued_attempt.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// Keeps every class with waiting work from starving. Each start earns every waiting class its guaranteed share of a
// slot; a class that has earned a whole slot, or has started nothing for the starvation limit, takes the next freed one.
// The cost of a decision grows with the number of waiting classes, not with that of attempts.
class guaranteed_share {
public:
    guaranteed_share(const class_terms_source& terms, duration starvationLimit)
        : m_terms(&terms)
        , m_starvationLimit(starvationLimit)
    {
    }

    void push(const queued_attempt&, instant now);
    void remove(const queued_attempt&, instant now);
    void started(const std::string& className, bool guaranteed, instant now);
    // Returns the oldest attempt of the class that is due, or null when the order of tiers applies.
    const queued_attempt* due(instant now) const;

private:
    struct waiting_class {
        std::set<const queued_attempt*, by_sequence> attempts;
        double credit = 0;
        // When the class last started something, or began to wait.
        instant servedAt;
        instant emptySince;
    };

    void forgetIdle(instant now);

    double shareOf(const std::string& className) const;

    const class_terms_source* m_terms;
    duration m_starvationLimit;
    std::map<std::string, waiting_class> m_classes;
    bool m_lastWasGuaranteed = false;
};

} // namespace kumquat
