#include "servers/router/peer_group.h"

#include "core/hash.h"

#include <algorithm>

// Where digests are sent, and how often.

namespace kumquat::router {

namespace {

    // All seeds are contacted this often while no other router is known, and then one of them now and then, so that groups of
    // routers that have not found each other meet.
    constexpr auto seedIntervalWithoutPeers = std::chrono::milliseconds(500);
    constexpr auto seedInterval = std::chrono::seconds(5);
    constexpr auto digestIntervalPerPeer = std::chrono::milliseconds(6);
    constexpr auto minDigestInterval = std::chrono::milliseconds(50);
    constexpr auto maxDigestInterval = std::chrono::milliseconds(400);
    constexpr auto maxSummaryInterval = std::chrono::milliseconds(200);
    // Every few rounds the summary goes to a further router of each data centre, in case the first one can't be reached.
    constexpr std::size_t roundsPerFurtherTarget = 5;
    constexpr std::size_t sampledNeighbours = 4;

} // namespace

std::vector<std::string> peer_group::digestTargets(instant now)
{
    auto targets = neighbourAddresses();
    for (const auto& [address, expiresAt] : m_candidates)
        targets.push_back(address);
    const duration interval = m_peers.empty() ? duration(seedIntervalWithoutPeers) : duration(seedInterval);
    if (now - m_seedsContactedAt < interval)
        return targets;
    m_seedsContactedAt = now;
    const bool hasNoPeers = m_peers.empty();
    ++m_seedRotation;
    for (std::size_t number = 0; number < m_seeds.size(); ++number) {
        const auto& seed = m_seeds[number];
        const bool isDue = hasNoPeers || number == m_seedRotation % m_seeds.size();
        if (isDue && seed != m_self.address && std::find(targets.begin(), targets.end(), seed) == targets.end())
            targets.push_back(seed);
    }
    return targets;
}

std::vector<std::string> peer_group::summaryTargets(instant now)
{
    std::vector<std::string> targets;
    const bool addsFurther = ++m_summaryRound % roundsPerFurtherTarget == 0;
    for (const auto& contact : m_contacts.rotateOutside(m_self.dataCentre)) {
        const auto found = m_peers.find(summaryName(contact.dataCentre));
        const bool hasAggregator = found != m_peers.end() && !found->second.address.empty() && now - found->second.lastSeen < freshSummaryAge;
        if (hasAggregator)
            targets.push_back(found->second.address);
        if (!hasAggregator || (addsFurther && contact.address != found->second.address))
            targets.push_back(contact.address);
    }
    return targets;
}

std::vector<std::string> peer_group::neighbourAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer))
            addresses.push_back(peer.address);
    }
    return addresses;
}

std::vector<router_contact> peer_group::sampleContacts()
{
    auto sample = m_contacts.rotateOutside(m_self.dataCentre);
    const auto addresses = neighbourAddresses();
    for (std::size_t number = 0; number < std::min(sampledNeighbours, addresses.size()); ++number)
        sample.push_back({ addresses[m_sampleRotation++ % addresses.size()], m_self.dataCentre });
    return sample;
}

bool peer_group::isAggregator(instant now) const
{
    if (now < m_aggregatorNotBefore)
        return false;
    const auto ownHash = hashBytes(m_instance);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return isNeighbour(item.second) && hashBytes(item.first) < ownHash; });
}

void peer_group::suspendAggregator(instant now)
{
    m_aggregatorNotBefore = now + peerTimeout;
}

std::size_t peer_group::count() const
{
    std::size_t routers = 0;
    for (const auto& [name, peer] : m_peers)
        routers += static_cast<std::size_t>(std::max(0, peer.routers));
    return routers;
}

duration peer_group::digestInterval() const
{
    const auto interval = digestIntervalPerPeer * static_cast<int>(neighbourCount());
    return std::clamp<duration>(interval, minDigestInterval, maxDigestInterval);
}

duration peer_group::summaryInterval() const
{
    const auto interval = digestIntervalPerPeer * static_cast<int>(count());
    return std::clamp<duration>(interval, minDigestInterval, maxSummaryInterval);
}

} // namespace kumquat::router
