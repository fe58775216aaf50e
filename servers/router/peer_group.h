#pragma once

#include "core/router_digest.h"
#include "servers/router/contact_book.h"
#include "servers/router/neighbour_addresses.h"
#include "servers/router/upstream_table.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::router {

// What the digests of the other routers have reported. It is advisory, and discarded when its sender leaves or falls silent.
//
// Routers of one data centre send their digests to each other. One of them, the aggregator, aggregates what it knows of its data
// centre and sends the summary to one router of each other data centre, which passes it on to its neighbours. The aggregator is the
// living router whose name has the lowest hash; nobody elects it. Two aggregators at once do no harm, since a summary replaces the
// one before it, and without an aggregator the other data centres keep the last summary for a time.
class peer_group {
public:
    // Sets who this router is, and the seed addresses at which others may be found.
    void setSelf(const std::string& instance, const router_contact& self, const std::vector<std::string>& seeds);

    // Stores the content of a digest. Returns false if it is not used: it is not newer than the last one of its sender, or summarizes
    // far fewer routers of a data centre than another summary that has just arrived.
    bool accept(const std::string& address, const router_digest&, instant now);
    // Removes the senders whose last digest is too old.
    void expire(instant now);
    // Discards the times at which the other routers confirmed their configuration and their records.
    void discardConfirmations();
    // Discards them, and ignores those of digests that are read before the given time.
    void distrustConfirmations(instant until);

    // The addresses to which this router's next digest is sent: the known routers of its data centre, addresses that these
    // named, and the seeds from time to time.
    std::vector<std::string> digestTargets(instant now);
    // The addresses to which the aggregator sends the next summary: in each other data centre the router that sent its last summary, and
    // another one now and then or if there is none.
    std::vector<std::string> summaryTargets(instant now);
    // The addresses of the routers of this data centre whose digests arrive here.
    std::vector<std::string> neighbourAddresses() const;
    // Some contacts for the next digest: of this data centre and of each other one, others at each call.
    std::vector<router_contact> sampleContacts();
    void addContact(const router_contact& contact, instant now) { m_contacts.add(contact, now); }
    // Contacts in the data centre of a router that has asked this one as its seed.
    std::vector<router_contact> contactsWithin(const std::string& dataCentre) const { return m_contacts.within(dataCentre); }

    // Whether this router aggregates its data centre.
    bool isAggregator(instant now) const;
    // Keeps this router from being the aggregator for a time, since it may have missed which routers live.
    void suspendAggregator(instant now);

    // The address of a router of this data centre whose digests arrive here.
    const std::string& addressOf(const std::string& neighbour) const { return m_peers.at(neighbour).address; }
    // The names of the routers of this data centre whose digests arrive here.
    std::vector<std::string> neighbourNames() const;
    // The number of routers in each other data centre, by its last summary.
    std::map<std::string, int> otherDataCentres() const;
    // The number of the other routers, in all data centres.
    std::size_t count() const;
    // The number of the other routers in this data centre whose digests arrive here.
    std::size_t neighbourCount() const { return m_neighbourAddresses.count(); }
    // Whether such a router has this address.
    bool hasNeighbourAt(const std::string& address) const { return m_neighbourAddresses.contains(address); }
    // The time between two digests. It grows with the number of routers in the data centre, so that the total traffic grows
    // no faster than that number.
    duration digestInterval() const;
    // The time between two summaries of a data centre.
    duration summaryInterval() const;

    // The sum of what the other routers have outstanding at an upstream, which is named by its key.
    outstanding_load loadOf(std::uint32_t upstream) const;
    // Adds what the other routers of this data centre have outstanding to the loads of this one.
    std::vector<outstanding_load> sumOfDataCentre(const std::vector<outstanding_load>& own) const;
    // The upstreams that the other routers of this data centre report as leaving.
    std::vector<leaving_upstream> leavingInDataCentre() const;

    // The newest position at which another router has read the configuration.
    store_position newestConfigPosition() const;
    // The newest position of an upstream record that another router has read.
    store_position newestUpstreamPosition() const;
    // The latest time at which another router confirmed with the store that the configuration at the position, with that
    // version, was the newest one.
    std::optional<instant> confirmedAt(store_position config, std::uint64_t version) const;
    // The same, for the routers of this data centre only.
    std::optional<instant> confirmedInDataCentre(store_position config, std::uint64_t version) const;
    // The latest time at which another router confirmed with the store that no upstream record was newer than those that it had read, of
    // the routers that have read none beyond the position.
    std::optional<instant> recordsConfirmedAt(store_position records) const;
    // The same, for the routers of this data centre only.
    std::optional<instant> recordsConfirmedInDataCentre(store_position records) const;
    // Another router has a newer version in force, although it has read no newer position: the store has lost that version
    // in a restore.
    bool knowsLostConfig(store_position config, std::uint64_t version) const;
    // How many readers of the store come before this router: the routers of its data centre and the other data centres whose
    // names sort before its own.
    std::size_t neighboursSortedBefore() const;
    std::size_t dataCentresSortedBefore() const;

private:
    struct peer_state {
        digest_scope scope = digest_scope::router;
        std::string dataCentre;
        std::string address;
        int routers = 1;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant lastSeen;
        store_position configPosition;
        std::uint64_t configVersion = 0;
        std::optional<instant> configConfirmedAt;
        store_position upstreamPosition;
        std::optional<instant> recordsConfirmedAt;
        std::vector<outstanding_load> loads;
        std::vector<leaving_upstream> leavingUpstreams;
    };

    // A router whose last digest is older than this is removed.
    static constexpr auto peerTimeout = std::chrono::milliseconds(1500);
    // A summary that is younger than this comes from an aggregator that can be reached.
    static constexpr auto freshSummaryAge = std::chrono::milliseconds(1000);

    bool isNeighbour(const peer_state& peer) const { return peer.scope == digest_scope::router; }
    bool isSuperseded(const peer_state& known, const router_digest&, instant now) const;
    void removePeer(const std::string& name);
    // Sets the scope and the address of a peer. This and removePeer alone change m_neighbourAddresses.
    void locate(peer_state&, digest_scope, const std::string& address, bool isNew);
    void replaceLoads(peer_state&, const router_digest&);
    void addCandidates(const std::vector<router_contact>&, instant now);

    std::string m_instance;
    router_contact m_self;
    std::vector<std::string> m_seeds;
    // By instance name, or by name of the data centre for its summary. Ordered, so that all routers draw the same samples.
    std::map<std::string, peer_state> m_peers;
    // Those of the neighbours, so that a digest costs no walk over all peers.
    neighbour_addresses m_neighbourAddresses;
    contact_book m_contacts;
    // Addresses in this data centre that other routers named but that have sent nothing here, with the time of their expiry.
    std::unordered_map<std::string, instant> m_candidates;
    // The sum over all senders, by the upstream's key.
    std::unordered_map<std::uint32_t, outstanding_load> m_totalLoads;
    instant m_seedsContactedAt;
    instant m_aggregatorNotBefore;
    instant m_confirmationsNotBefore;
    std::size_t m_sampleRotation = 0;
    std::size_t m_seedRotation = 0;
    std::size_t m_summaryRound = 0;
};

// The name under which the summary of a data centre is known.
std::string summaryName(const std::string& dataCentre);

} // namespace kumquat::router
