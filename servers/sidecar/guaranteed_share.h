#pragma once

#include "servers/sidecar/class_terms.h"
#include "servers/sidecar/queued_attempt.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// Keeps every class with waiting work from starving. Each start earns every waiting class its guaranteed share of what
// the start costs; a class that has earned the cost of its oldest attempt takes the next freed slot. Shares count tokens
// and not starts, because one long output occupies a slot for as long as many short ones. A class that has started
// nothing for the starvation limit and has nothing running, or has started nothing for the longest pause, comes first.
// The cost of a decision grows with the number of waiting classes, not with that of attempts.
class guaranteed_share {
public:
    struct options {
        duration starvationLimit = std::chrono::seconds { 20 };
        duration longestPause = std::chrono::seconds { 50 };
    };

    guaranteed_share(const class_terms_source& terms, const options& given)
        : m_terms(&terms)
        , m_options(given)
    {
    }

    void push(const queued_attempt&, instant now);
    void remove(const queued_attempt&, instant now);
    void started(const queue_choice&, instant now);
    // An attempt of the class has left its slot.
    void ended(const std::string& className, instant now);
    // Returns the oldest attempt of the class that is due, or null when the order of tiers applies.
    const queued_attempt* due(instant now) const;

private:
    struct known_class {
        std::set<const queued_attempt*, by_sequence> waiting;
        std::uint32_t running = 0;
        // Tokens earned and not yet taken.
        double credit = 0;
        // When the class last started something, or began to wait.
        instant servedAt;
        instant emptySince;
    };

    void forgetIdle(instant now);
    bool starves(const known_class&, instant now) const;
    double shareOf(const std::string& className) const;

    const class_terms_source* m_terms;
    options m_options;
    std::map<std::string, known_class> m_classes;
    bool m_lastWasGuaranteed = false;
};

} // namespace kumquat
