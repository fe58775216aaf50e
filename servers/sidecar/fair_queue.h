#pragma once

#include "servers/sidecar/guaranteed_share.h"
#include "servers/sidecar/queued_attempt.h"
#include "servers/sidecar/tier_queue.h"

#include <map>

namespace kumquat {

// Order of fair_scheduling: the guaranteed share of a class that is due, else the highest tier that waits, and inside it
// the organisation that has received the least. The attempts belong to the admission queue and outlive their stay here.
class fair_queue {
public:
    fair_queue(const class_terms_source& terms, duration starvationLimit)
        : m_share(terms, starvationLimit)
    {
    }

    void push(const queued_attempt&, instant now);
    void remove(const queued_attempt&, instant now);
    queue_choice next(instant now);
    // Returns what runs next by the order of tiers alone, for a slot that was freed by preemption.
    queue_choice nextByTier(instant now);

    // Charges the organisation for a chosen attempt. Call before remove().
    void started(const queue_choice&, bool inTurn, instant now);
    // Corrects the charge of a running attempt.
    void charge(std::uint32_t tierRank, const std::string& organisation, double tokens);
    // Ends an attempt that had started.
    void ended(std::uint32_t tierRank, const std::string& organisation);

    // Returns the time of slots that is taken by what would run before an arrival.
    duration runAhead(std::uint32_t tierRank, const std::string& organisation, duration ownRun) const;
    // Returns an attempt of the tier whose organisation has more waiting than the arriving one would have, or null.
    const queued_attempt* surplus(std::uint32_t tierRank, const std::string& organisation) const;

private:
    std::map<std::uint32_t, tier_queue> m_tiers;
    guaranteed_share m_share;
};

} // namespace kumquat
