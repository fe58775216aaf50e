#pragma once

#include "core/caller_error.h"
#include "core/clock.h"
#include "core/document.h"
#include "core/peer_message.h"
#include "core/token_bucket.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Whether the document sets a rate or concurrency limit for the organisation.
bool hasLimits(const organisation&);

// Limits the requests of each organisation to this entry's share of the organisation's limits. The entry that allocates the
// shares grants them as leases. When a lease expires because that entry is unreachable, the last share stays in force but is
// reduced to at most an equal part of the limit, so that the shares of expired leases add up to no more than the limit.
class organisation_limiter {
public:
    // Admits a request, which then counts as in flight, and returns nothing; or returns the error for the caller: rate_limited
    // or too_many_in_flight, with the time after which to retry.
    std::optional<caller_error> admit(const organisation&, std::size_t entryCount, instant now);
    // Ends the counting of an admitted request as in flight.
    void release(const std::string& organisation);
    // Replaces the share of an organisation by a granted lease.
    void applyShare(const lease_share&, std::chrono::milliseconds validFor, instant now);
    // Returns the demand of every organisation since the last call. Removes organisations that have had no request in flight
    // and no arrival for 30 s.
    std::vector<lease_demand> collectDemands(instant now);

private:
    struct account {
        lease_share share;
        // Empty until the first lease is granted.
        std::optional<instant> leaseExpiresAt;
        // Paces the requests at the rate of the share.
        token_bucket bucket { 0, {} };
        std::uint32_t inFlight = 0;
        // Requests refused since the last demand because too many were in flight.
        std::uint32_t concurrencyRefusals = 0;
        // Requests that arrived since the last demand, including refused ones.
        std::uint32_t arrivals = 0;
        // When the last demand was collected, or when the account was created.
        instant demandedAt;
        // Requests per second, exponentially smoothed over the demands.
        double arrivalRate = 0;
        instant lastArrival;
    };

    account& accountFor(const organisation&, std::size_t entryCount, instant now);
    // Sets the share to the equal part while no lease has been granted, and reduces it to at most that part after the lease
    // has expired.
    static void reduceExpiredShare(account&, const lease_share& equalPart, instant now);

    std::map<std::string, account> m_accounts;
};

} // namespace kumquat
