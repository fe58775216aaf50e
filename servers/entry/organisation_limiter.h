#pragma once

#include "core/caller_error.h"
#include "core/clock.h"
#include "core/document.h"
#include "core/peer_message.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Whether the document limits the organisation at all.
bool hasLimits(const organisation&);

// Holds the requests of each organisation to this entry's share of its limits. A share comes as a lease from the entry
// that keeps the organisation; when that one cannot be reached the last share stays in force, cut to an equal part of
// the limit, so that the shares that outlive their leases cannot add up to more than the limit.
class organisation_limiter {
public:
    // Returns the error that the caller gets, or nothing when the request is admitted and counts as in flight.
    std::optional<caller_error> admit(const organisation&, std::size_t entryCount, instant now);
    // Ends a request that was admitted.
    void release(const std::string& organisation);
    void applyShare(const lease_share&, std::chrono::milliseconds validFor, instant now);
    // Returns what to ask for, of organisations that have sent something lately, and forgets the idle ones.
    std::vector<lease_demand> takeDemands(instant now);

private:
    struct account {
        lease_share share;
        // Nothing until the first lease.
        std::optional<instant> leasedUntil;
        double tokens = 0;
        instant refilledAt;
        std::uint32_t inFlight = 0;
        // Refused since the last demand because too many were in flight.
        std::uint32_t crowdedOut = 0;
        // Arrivals since the last demand, refused ones included.
        std::uint32_t arrivals = 0;
        instant demandedAt;
        double arrivalRate = 0;
        instant lastArrival;
    };

    account& accountFor(const organisation&, std::size_t entryCount, instant now);
    static void cutExpiredShare(account&, const lease_share& equal, instant now);
    static void refill(account&, instant now);

    std::map<std::string, account> m_accounts;
};

} // namespace kumquat
