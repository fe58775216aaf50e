#pragma once

#include "servers/sidecar/guaranteed_share.h"
#include "servers/sidecar/queued_attempt.h"
#include "servers/sidecar/tier_queue.h"

#include <map>

namespace kumquat {

// The order of fair_scheduling: first a class that is due by its guaranteed share, else the highest tier with waiting
// attempts, and within the tier the organisation that has received the fewest tokens. Stores pointers to attempts of the
// admission queue, which removes an attempt here before it destroys it.
class fair_queue {
public:
    fair_queue(const class_lookup& classes, const guaranteed_share::options& share)
        : m_share(classes, share)
    {
    }

    void push(const queued_attempt&, instant now);
    void remove(const queued_attempt&, instant now);
    queue_choice next(instant now);
    // Returns the attempt that starts next by the order of tiers alone. Used for a slot that a preemption has freed, since
    // guaranteed shares only take slots that become free by themselves.
    queue_choice nextByTier(instant now);

    // Charges the organisation for an attempt that starts. Must be called before remove(). The virtual time
    // of the tier does not advance for a start by a preemption or by a guaranteed share.
    void recordStart(const queue_choice&, bool advancesVirtualTime, instant now);
    // Adds tokens to the charge of a running attempt; negative values are refunds.
    void charge(std::uint32_t tierRank, const std::string& organisation, double tokens);
    // Records that a started attempt has left its slot.
    void recordEnd(const queued_attempt&, instant now);

    // Estimates how many waiting attempts would start before a new one of the tier and organisation.
    std::size_t countBefore(std::uint32_t tierRank, const std::string& organisation) const;
    // Returns an attempt of the tier that may be dropped for a new one of the organisation, because its own organisation
    // has more attempts waiting than the other would have; or null.
    const queued_attempt* displacementCandidate(std::uint32_t tierRank, const std::string& organisation) const;

private:
    std::map<std::uint32_t, tier_queue> m_tiers;
    guaranteed_share m_share;
};

} // namespace kumquat
