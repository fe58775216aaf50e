#pragma once

#include "core/router_digest.h"
#include "servers/router/upstream_table.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::router {

// What the digests of the other routers have reported. It is advisory, and discarded when its router leaves or falls
// silent.
class peer_group {
public:
    // Sets the address of this router, and the seed addresses at which others may be found.
    void setAddresses(const std::string& ownAddress, const std::vector<std::string>& seeds);

    // Stores the content of a digest. Returns false if it is not newer than the last one of its sender.
    bool accept(const std::string& address, const router_digest&, instant now);
    // Removes the routers whose last digest is too old.
    void expire(instant now);
    // Discards the times at which the other routers confirmed their configuration.
    void discardConfirmations();

    // The addresses to which the next digest is sent: known routers, addresses that these named, and the seeds from time
    // to time.
    std::vector<std::string> digestTargets(instant now);
    // The addresses of the routers whose digests arrive here.
    std::vector<std::string> memberAddresses() const;
    // The number of routers whose digests arrive here, without this one.
    std::size_t count() const { return m_peers.size(); }
    // The time between two digests. It grows with the number of routers, so that the total traffic grows no faster than that
    // number.
    duration digestInterval() const;

    // The sum of what the other routers have outstanding at an upstream, which is named by its key.
    outstanding_load loadOf(std::uint32_t upstream) const;
    // The newest position at which another router has read the configuration.
    store_position newestConfigPosition() const;
    // The newest position of an upstream record that another router has read.
    store_position newestUpstreamPosition() const;
    // The newest era in which the store has answered another router.
    std::uint64_t newestStoreEra() const;
    // The latest time at which another router confirmed with the store that the configuration at the position, with that
    // version, was the newest one.
    std::optional<instant> confirmedAt(store_position config, std::uint64_t version) const;
    // Another router has a newer version in force, although it has read no newer position: the store has lost that version
    // in a restore.
    bool knowsLostConfig(store_position config, std::uint64_t version) const;
    // The number of routers whose instance name sorts before the given one.
    std::size_t countSortedBefore(const std::string& instance) const;

private:
    struct peer_state {
        std::string address;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant lastSeen;
        std::uint64_t storeEra = 0;
        store_position configPosition;
        std::uint64_t configVersion = 0;
        std::optional<instant> configConfirmedAt;
        store_position upstreamPosition;
        std::vector<outstanding_load> loads;
    };

    void replaceLoads(peer_state&, const std::vector<outstanding_load>&);

    std::string m_ownAddress;
    std::vector<std::string> m_seeds;
    // By instance name.
    std::unordered_map<std::string, peer_state> m_peers;
    // Addresses that other routers named as members but that have sent nothing here, with the time of their expiry.
    std::unordered_map<std::string, instant> m_candidates;
    // The sum over all routers, by the upstream's key.
    std::unordered_map<std::uint32_t, outstanding_load> m_totalLoads;
    instant m_seedsContactedAt;
};

} // namespace kumquat::router
