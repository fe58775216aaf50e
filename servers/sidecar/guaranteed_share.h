#pragma once

#include "servers/sidecar/class_lookup.h"
#include "servers/sidecar/queued_attempt.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// Prevents starvation of classes with waiting attempts. Each start credits every waiting class with its guaranteed share of
// the cost of the started attempt, in tokens. A class whose credit reaches the cost of its oldest attempt takes the next
// freed slot. Shares count tokens and not starts, because one long output occupies a slot for as long as many short ones.
// Independently of its credit, a class is due if it has started nothing for options::starvationLimit and has nothing
// running, or if it has started nothing for options::maxStartInterval.
// A decision takes time linear in the number of waiting classes, independent of the number of attempts.
class guaranteed_share {
public:
    struct options {
        duration starvationLimit = std::chrono::seconds { 20 };
        duration maxStartInterval = std::chrono::seconds { 50 };
    };

    guaranteed_share(const class_lookup& classes, const options& shareOptions)
        : m_classLookup(&classes)
        , m_options(shareOptions)
    {
    }

    void push(const queued_attempt&, instant now);
    void remove(const queued_attempt&, instant now);
    void recordStart(const queue_choice&, instant now);
    // Records that an attempt of the class has left its slot.
    void recordEnd(const std::string& className, instant now);
    // Returns the oldest attempt of the due class whose last start is the longest ago, or null when no class is due and the
    // order of tiers applies.
    const queued_attempt* dueAttempt(instant now) const;

private:
    struct class_state {
        std::set<const queued_attempt*, by_sequence> waiting;
        std::uint32_t running = 0;
        // Expected tokens that the class has earned and not yet spent.
        double credit = 0;
        // When the class last started an attempt, or when it was added if it has started none.
        instant lastStartAt;
        instant emptySince;
    };

    void removeIdleClasses(instant now);
    bool isStarving(const class_state&, instant now) const;
    double shareOf(const std::string& className) const;

    const class_lookup* m_classLookup;
    options m_options;
    std::map<std::string, class_state> m_classes;
    bool m_lastStartWasGuaranteed = false;
};

} // namespace kumquat
