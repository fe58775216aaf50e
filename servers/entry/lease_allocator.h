#pragma once

#include "core/clock.h"
#include "core/document.h"
#include "core/peer_message.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

// Returns the share of an organisation's limits that an entry uses without a lease: an equal part for every entry.
lease_share equalShare(const organisation&, std::size_t entryCount);

// Returns the id of the entry that allocates the leases of an organisation, by rendezvous hashing: the entry whose hash with
// the organisation's name is largest. Returns an empty string when there are no ids.
std::string allocatingEntryOf(const std::string& organisation, const std::vector<std::string>& entryIds);

// Divides the limits of organisations among the entries in proportion to their demand. The shares of all unexpired leases
// together never exceed a limit, except that every entry may have a burst of one request.
class lease_allocator {
public:
    explicit lease_allocator(std::chrono::milliseconds leaseTime)
        : m_leaseTime(leaseTime)
    {
    }

    // Grants a lease to an entry, or renews it, and returns its share.
    lease_share grant(const organisation&, const std::string& entryId, const lease_demand&, std::size_t entryCount, instant now);
    std::chrono::milliseconds leaseTime() const { return m_leaseTime; }
    // Removes organisations whose leases have all expired.
    void removeExpired(instant now);

private:
    struct lease {
        lease_share share;
        double demandedRate = 0;
        std::uint32_t demandedInFlight = 0;
        instant expiresAt;
    };

    struct allocation {
        // Until this time entries may use leases of a previous allocator, so only equal shares are granted.
        instant equalSharesUntil;
        std::map<std::string, lease> leases;
    };

    std::chrono::milliseconds m_leaseTime;
    std::map<std::string, allocation> m_allocations;
};

} // namespace kumquat
