#pragma once

#include "core/router_digest.h"
#include "servers/router/upstream_table.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::router {

// The other routers, as their digests tell of them. Everything here is a hint that lapses with its router.
class peer_group {
public:
    // The address of this router, and addresses where others may be found at first.
    void setAddresses(const std::string& own, const std::vector<std::string>& seeds);

    // Takes a digest in. Returns false if it is old.
    bool accept(const std::string& address, const router_digest&, instant now);
    // Forgets routers that have been silent for long.
    void expire(instant now);
    // Forgets all that the others confirmed before now.
    void forgetConfirmations();

    // Where to send digests.
    std::vector<std::string> addresses(instant now);
    // The addresses of the routers that are heard.
    std::vector<std::string> heard() const;
    // How many routers are heard, this one not counted.
    std::size_t count() const { return m_peers.size(); }
    // How often a digest is due, so that the traffic grows no faster than the number of routers.
    duration interval() const;

    // What the others have outstanding at an upstream.
    outstanding_load loadOf(std::uint32_t upstream) const;
    // The newest configuration that any other router knows.
    std::uint64_t newestConfig() const;
    std::uint64_t newestUpstreams() const;
    // The last moment at which a router confirmed that no configuration newer than the revision existed.
    std::optional<instant> confirmedAt(std::uint64_t configRevision) const;
    // How many routers come before that name.
    std::size_t countBefore(const std::string& instance) const;

private:
    struct peer {
        std::string address;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant heardAt;
        std::uint64_t configRevision = 0;
        std::optional<instant> configConfirmedAt;
        std::uint64_t upstreamRevision = 0;
        std::vector<outstanding_load> loads;
    };

    void replaceLoads(peer&, const std::vector<outstanding_load>&);

    std::string m_own;
    std::vector<std::string> m_seeds;
    // By instance.
    std::unordered_map<std::string, peer> m_peers;
    // Addresses that others hear but this router does not, with the time from which they are no longer tried.
    std::unordered_map<std::string, instant> m_candidates;
    std::unordered_map<std::uint32_t, outstanding_load> m_totals;
    instant m_seedsTriedAt;
};

} // namespace kumquat::router
