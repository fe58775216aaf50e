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

// The part of an organisation's limits that an entry has when nobody has told it more.
lease_share equalShare(const organisation&, std::size_t entryCount);

// Returns the entry that keeps the limits of an organisation: the one of largest weight among the ids.
std::string keeperOf(const std::string& organisation, const std::vector<std::string>& entryIds);

// Divides the limits of organisations among the entries that ask. What is out on unexpired leases never exceeds a limit,
// except that every entry may save up one request.
class lease_giver {
public:
    explicit lease_giver(std::chrono::milliseconds leaseTime)
        : m_leaseTime(leaseTime)
    {
    }

    lease_share grant(const organisation&, const std::string& entryId, const lease_demand&, std::size_t entryCount, instant now);
    std::chrono::milliseconds leaseTime() const { return m_leaseTime; }
    // Forgets organisations whose leases have all expired.
    void forgetExpired(instant now);

private:
    struct lease {
        lease_share share;
        double wantedRate = 0;
        std::uint32_t wantedInFlight = 0;
        instant until;
    };

    struct book {
        // Entries may still hold shares of an earlier keeper until then.
        instant cautiousUntil;
        std::map<std::string, lease> leases;
    };

    std::chrono::milliseconds m_leaseTime;
    std::map<std::string, book> m_books;
};

} // namespace kumquat
