#include "servers/router/peer_group.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A router whose last digest is older than this is removed.
    constexpr auto peerTimeout = std::chrono::milliseconds(1500);
    constexpr auto candidateTimeout = std::chrono::seconds(3);
    constexpr auto seedRetryInterval = std::chrono::milliseconds(500);
    constexpr auto digestIntervalPerPeer = std::chrono::milliseconds(6);
    constexpr auto minDigestInterval = std::chrono::milliseconds(50);
    constexpr auto maxDigestInterval = std::chrono::milliseconds(400);
    // The longest transit time of a digest that is allowed for, so that a confirmation is never taken for newer than it is.
    constexpr auto maxTransitTime = std::chrono::milliseconds(100);

    void addLoad(outstanding_load& total, const outstanding_load& load, int sign)
    {
        total.inFlight += sign * load.inFlight;
        total.streams += sign * load.streams;
        total.uncachedPromptTokens += sign * load.uncachedPromptTokens;
    }

} // namespace

void peer_group::setAddresses(const std::string& ownAddress, const std::vector<std::string>& seeds)
{
    m_ownAddress = ownAddress;
    m_seeds = seeds;
}

bool peer_group::accept(const std::string& address, const router_digest& digest, instant now)
{
    auto& sender = m_peers[digest.instance];
    if (sender.incarnation == digest.incarnation && digest.sequence <= sender.sequence)
        return false;
    if (digest.leaving) {
        replaceLoads(sender, {});
        m_peers.erase(digest.instance);
        return true;
    }
    sender.address = address;
    sender.incarnation = digest.incarnation;
    sender.sequence = digest.sequence;
    sender.lastSeen = now;
    sender.storeEra = digest.storeEra;
    sender.configPosition = digest.configPosition;
    sender.configVersion = digest.configVersion;
    sender.configConfirmedAt.reset();
    if (digest.configAge)
        sender.configConfirmedAt = now - *digest.configAge - maxTransitTime;
    sender.upstreamPosition = digest.upstreamPosition;
    replaceLoads(sender, digest.loads);
    m_candidates.erase(address);
    for (const auto& member : digest.members) {
        const bool isCurrentMember = member == m_ownAddress || std::any_of(m_peers.begin(), m_peers.end(), [&member](const auto& item) { return item.second.address == member; });
        if (!isCurrentMember)
            m_candidates.emplace(member, now + candidateTimeout);
    }
    return true;
}

void peer_group::replaceLoads(peer_state& peer, const std::vector<outstanding_load>& loads)
{
    for (const auto& load : peer.loads)
        addLoad(m_totalLoads[load.upstream], load, -1);
    peer.loads = loads;
    for (const auto& load : peer.loads)
        addLoad(m_totalLoads[load.upstream], load, 1);
}

void peer_group::expire(instant now)
{
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (now - item->second.lastSeen < peerTimeout) {
            ++item;
            continue;
        }
        replaceLoads(item->second, {});
        item = m_peers.erase(item);
    }
    std::erase_if(m_candidates, [now](const auto& item) { return item.second <= now; });
}

void peer_group::discardConfirmations()
{
    for (auto& [instance, peer] : m_peers)
        peer.configConfirmedAt.reset();
}

std::vector<std::string> peer_group::digestTargets(instant now)
{
    auto targets = memberAddresses();
    for (const auto& [address, expiresAt] : m_candidates)
        targets.push_back(address);
    if (now - m_seedsContactedAt < seedRetryInterval)
        return targets;
    m_seedsContactedAt = now;
    for (const auto& seed : m_seeds) {
        if (seed != m_ownAddress && std::find(targets.begin(), targets.end(), seed) == targets.end())
            targets.push_back(seed);
    }
    return targets;
}

std::vector<std::string> peer_group::memberAddresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_peers.size());
    for (const auto& [instance, peer] : m_peers)
        addresses.push_back(peer.address);
    return addresses;
}

duration peer_group::digestInterval() const
{
    const auto interval = digestIntervalPerPeer * static_cast<int>(m_peers.size());
    return std::clamp<duration>(interval, minDigestInterval, maxDigestInterval);
}

outstanding_load peer_group::loadOf(std::uint32_t upstream) const
{
    const auto found = m_totalLoads.find(upstream);
    return found == m_totalLoads.end() ? outstanding_load {} : found->second;
}

store_position peer_group::newestConfigPosition() const
{
    store_position newest;
    for (const auto& [instance, peer] : m_peers)
        newest = std::max(newest, peer.configPosition);
    return newest;
}

store_position peer_group::newestUpstreamPosition() const
{
    store_position newest;
    for (const auto& [instance, peer] : m_peers)
        newest = std::max(newest, peer.upstreamPosition);
    return newest;
}

std::uint64_t peer_group::newestStoreEra() const
{
    std::uint64_t newest = 0;
    for (const auto& [instance, peer] : m_peers)
        newest = std::max(newest, peer.storeEra);
    return newest;
}

bool peer_group::knowsLostConfig(store_position config, std::uint64_t version) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return item.second.configVersion > version && item.second.configPosition <= config; });
}

std::optional<instant> peer_group::confirmedAt(store_position config, std::uint64_t version) const
{
    std::optional<instant> latest;
    for (const auto& [instance, peer] : m_peers) {
        if (peer.configPosition == config && peer.configVersion == version && peer.configConfirmedAt && (!latest || *peer.configConfirmedAt > *latest))
            latest = peer.configConfirmedAt;
    }
    return latest;
}

std::size_t peer_group::countSortedBefore(const std::string& instance) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&instance](const auto& item) { return item.first < instance; }));
}

} // namespace kumquat::router
