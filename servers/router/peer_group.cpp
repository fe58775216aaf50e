#include "servers/router/peer_group.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A data centre whose last summary is older than this is removed.
    constexpr auto dataCentreTimeout = std::chrono::seconds(3);
    constexpr auto candidateTimeout = std::chrono::seconds(3);
    // A summary of fewer than this share of the routers of the last one is ignored while that one is fresh: its sender has just
    // started or is partly cut off.
    constexpr double minSummaryShare = 0.5;
    // The longest transit time of a digest that is allowed for, on each of its hops, so that a confirmation is never taken for
    // newer than it is.
    constexpr auto maxTransitTime = std::chrono::milliseconds(100);

    void addLoad(outstanding_load& total, const outstanding_load& load, int sign)
    {
        total.inFlight += sign * load.inFlight;
        total.streams += sign * load.streams;
        total.uncachedPromptTokens += sign * load.uncachedPromptTokens;
    }

    std::string peerName(const router_digest& digest)
    {
        return digest.scope == digest_scope::router ? digest.instance : summaryName(digest.dataCentre);
    }

} // namespace

std::string summaryName(const std::string& dataCentre)
{
    return "data centre " + dataCentre;
}

void peer_group::setSelf(const std::string& instance, const router_contact& self, const std::vector<std::string>& seeds)
{
    m_instance = instance;
    m_self = self;
    m_seeds = seeds;
}

bool peer_group::accept(const std::string& address, const router_digest& digest, instant now)
{
    const auto name = peerName(digest);
    const auto known = m_peers.find(name);
    if (known != m_peers.end() && isSuperseded(known->second, digest, now))
        return false;
    if (digest.leaving) {
        removePeer(name);
        return true;
    }
    const bool isNew = known == m_peers.end();
    auto& sender = m_peers[name];
    sender.dataCentre = digest.dataCentre;
    // A summary that was passed on arrives from a neighbour; its aggregator's address is not known.
    locate(sender, digest.scope, digest.relayed ? std::string(sender.address) : address, isNew);
    sender.routers = digest.routers;
    sender.incarnation = digest.incarnation;
    sender.sequence = digest.sequence;
    sender.lastSeen = now;
    sender.configPosition = digest.configPosition;
    sender.configVersion = digest.configVersion;
    sender.configConfirmedAt.reset();
    sender.recordsConfirmedAt.reset();
    const auto transitTime = maxTransitTime * (digest.relayed ? 2 : 1);
    if (digest.configAge && now >= m_confirmationsNotBefore)
        sender.configConfirmedAt = now - *digest.configAge - transitTime;
    if (digest.recordsAge && now >= m_confirmationsNotBefore)
        sender.recordsConfirmedAt = now - *digest.recordsAge - transitTime;
    sender.upstreamPosition = digest.upstreamPosition;
    sender.leavingUpstreams = digest.leavingUpstreams;
    replaceLoads(sender, digest);
    m_candidates.erase(address);
    if (!digest.relayed)
        m_contacts.add({ address, digest.dataCentre }, now);
    addCandidates(digest.members, now);
    return true;
}

bool peer_group::isSuperseded(const peer_state& known, const router_digest& digest, instant now) const
{
    if (known.incarnation == digest.incarnation)
        return digest.sequence <= known.sequence;
    const bool isFresh = now - known.lastSeen < freshSummaryAge;
    return digest.scope == digest_scope::data_centre && isFresh && digest.routers < known.routers * minSummaryShare;
}

void peer_group::addCandidates(const std::vector<router_contact>& members, instant now)
{
    for (const auto& member : members) {
        m_contacts.add(member, now);
        if (member.dataCentre != m_self.dataCentre || member.address == m_self.address)
            continue;
        if (!m_neighbourAddresses.contains(member.address))
            m_candidates.emplace(member.address, now + candidateTimeout);
    }
}

void peer_group::locate(peer_state& peer, digest_scope scope, const std::string& address, bool isNew)
{
    if (!isNew && peer.scope == scope && peer.address == address)
        return;
    if (!isNew && isNeighbour(peer))
        m_neighbourAddresses.remove(peer.address);
    peer.scope = scope;
    peer.address = address;
    if (isNeighbour(peer))
        m_neighbourAddresses.add(address);
}

void peer_group::replaceLoads(peer_state& peer, const router_digest& digest)
{
    const auto isInSlice = [&digest](const outstanding_load& load) { return load.upstream % digest.slice.count == digest.slice.index; };
    for (const auto& load : peer.loads) {
        if (isInSlice(load))
            addLoad(m_totalLoads[load.upstream], load, -1);
    }
    std::erase_if(peer.loads, isInSlice);
    for (const auto& load : digest.loads) {
        if (!isInSlice(load))
            continue;
        addLoad(m_totalLoads[load.upstream], load, 1);
        peer.loads.push_back(load);
    }
}

void peer_group::removePeer(const std::string& name)
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end())
        return;
    for (const auto& load : found->second.loads)
        addLoad(m_totalLoads[load.upstream], load, -1);
    if (isNeighbour(found->second))
        m_neighbourAddresses.remove(found->second.address);
    m_peers.erase(found);
}

void peer_group::expire(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [name, peer] : m_peers) {
        const duration timeout = isNeighbour(peer) ? duration(peerTimeout) : duration(dataCentreTimeout);
        if (now - peer.lastSeen >= timeout)
            expired.push_back(name);
    }
    for (const auto& name : expired)
        removePeer(name);
    std::erase_if(m_candidates, [now](const auto& item) { return item.second <= now; });
    m_contacts.expire(now);
}

void peer_group::discardConfirmations()
{
    for (auto& [name, peer] : m_peers) {
        peer.configConfirmedAt.reset();
        peer.recordsConfirmedAt.reset();
    }
}

void peer_group::distrustConfirmations(instant until)
{
    discardConfirmations();
    m_confirmationsNotBefore = until;
}

std::vector<outstanding_load> peer_group::sumOfDataCentre(const std::vector<outstanding_load>& own) const
{
    std::map<std::uint32_t, outstanding_load> sums;
    const auto add = [&sums](const outstanding_load& load) {
        auto& sum = sums[load.upstream];
        sum.upstream = load.upstream;
        addLoad(sum, load, 1);
    };
    std::for_each(own.begin(), own.end(), add);
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer))
            std::for_each(peer.loads.begin(), peer.loads.end(), add);
    }
    std::vector<outstanding_load> result;
    result.reserve(sums.size());
    for (const auto& [key, sum] : sums)
        result.push_back(sum);
    return result;
}

std::vector<std::string> peer_group::neighbourNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer))
            names.push_back(name);
    }
    return names;
}

std::map<std::string, int> peer_group::otherDataCentres() const
{
    std::map<std::string, int> counts;
    for (const auto& [name, peer] : m_peers) {
        if (!isNeighbour(peer))
            counts.emplace(peer.dataCentre, peer.routers);
    }
    return counts;
}

std::vector<leaving_upstream> peer_group::leavingInDataCentre() const
{
    std::vector<leaving_upstream> leaving;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer))
            leaving.insert(leaving.end(), peer.leavingUpstreams.begin(), peer.leavingUpstreams.end());
    }
    return leaving;
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

bool peer_group::knowsLostConfig(store_position config, std::uint64_t version) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return item.second.configVersion > version && item.second.configPosition <= config; });
}

std::optional<instant> peer_group::confirmedAt(store_position config, std::uint64_t version) const
{
    std::optional<instant> latest;
    for (const auto& [name, peer] : m_peers) {
        if (peer.configPosition == config && peer.configVersion == version)
            latest = std::max(latest, peer.configConfirmedAt);
    }
    return latest;
}

std::optional<instant> peer_group::confirmedInDataCentre(store_position config, std::uint64_t version) const
{
    std::optional<instant> latest;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer) && peer.configPosition == config && peer.configVersion == version)
            latest = std::max(latest, peer.configConfirmedAt);
    }
    return latest;
}

std::optional<instant> peer_group::recordsConfirmedAt(store_position records) const
{
    std::optional<instant> latest;
    for (const auto& [name, peer] : m_peers) {
        if (peer.upstreamPosition <= records)
            latest = std::max(latest, peer.recordsConfirmedAt);
    }
    return latest;
}

std::optional<instant> peer_group::recordsConfirmedInDataCentre(store_position records) const
{
    std::optional<instant> latest;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer) && peer.upstreamPosition <= records)
            latest = std::max(latest, peer.recordsConfirmedAt);
    }
    return latest;
}

std::size_t peer_group::neighboursSortedBefore() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) { return isNeighbour(item.second) && item.first < m_instance; }));
}

std::size_t peer_group::dataCentresSortedBefore() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) { return !isNeighbour(item.second) && item.second.dataCentre < m_self.dataCentre; }));
}

} // namespace kumquat::router
