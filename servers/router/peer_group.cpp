#include "servers/router/peer_group.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A router whose last digest is older than this is removed, and a data centre whose last sum is older than that.
    constexpr auto peerTimeout = std::chrono::milliseconds(1500);
    constexpr auto dataCentreTimeout = std::chrono::seconds(3);
    constexpr auto candidateTimeout = std::chrono::seconds(3);
    // All seeds are contacted this often while no other router is known, and then one of them now and then, so that groups of
    // routers that have not found each other meet.
    constexpr auto lonelySeedInterval = std::chrono::milliseconds(500);
    constexpr auto seedInterval = std::chrono::seconds(5);
    constexpr auto digestIntervalPerPeer = std::chrono::milliseconds(6);
    constexpr auto minDigestInterval = std::chrono::milliseconds(50);
    constexpr auto maxDigestInterval = std::chrono::milliseconds(400);
    constexpr auto maxSummaryInterval = std::chrono::milliseconds(200);
    // A sum of fewer than this share of the routers of the last one is ignored while that one is fresh: its sender has just
    // started or is partly cut off.
    constexpr double minSummaryShare = 0.5;
    constexpr auto freshSummaryAge = std::chrono::milliseconds(1000);
    // Every few rounds the sum goes to a further router of each data centre, in case the first one can't be reached.
    constexpr std::size_t roundsPerFurtherTarget = 5;
    constexpr std::size_t sampledNeighbours = 4;
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
    auto& sender = m_peers[name];
    sender.scope = digest.scope;
    sender.dataCentre = digest.dataCentre;
    // A sum that was passed on arrives from a neighbour; its carrier's address is not known.
    if (!digest.relayed)
        sender.address = address;
    sender.routers = digest.routers;
    sender.incarnation = digest.incarnation;
    sender.sequence = digest.sequence;
    sender.lastSeen = now;
    sender.storeEra = digest.storeEra;
    sender.configPosition = digest.configPosition;
    sender.configVersion = digest.configVersion;
    sender.configConfirmedAt.reset();
    if (digest.configAge && now >= m_confirmationsNotBefore)
        sender.configConfirmedAt = now - *digest.configAge - maxTransitTime * (digest.relayed ? 2 : 1);
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
        const bool isKnown = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return isNeighbour(item.second) && item.second.address == member.address; });
        if (!isKnown)
            m_candidates.emplace(member.address, now + candidateTimeout);
    }
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
    for (auto& [name, peer] : m_peers)
        peer.configConfirmedAt.reset();
}

void peer_group::distrustConfirmations(instant until)
{
    discardConfirmations();
    m_confirmationsNotBefore = until;
}

std::vector<std::string> peer_group::digestTargets(instant now)
{
    auto targets = neighbourAddresses();
    for (const auto& [address, expiresAt] : m_candidates)
        targets.push_back(address);
    const duration interval = m_peers.empty() ? duration(lonelySeedInterval) : duration(seedInterval);
    if (now - m_seedsContactedAt < interval)
        return targets;
    m_seedsContactedAt = now;
    const bool lonely = m_peers.empty();
    ++m_seedRotation;
    for (std::size_t number = 0; number < m_seeds.size(); ++number) {
        const auto& seed = m_seeds[number];
        const bool isDue = lonely || number == m_seedRotation % m_seeds.size();
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
        const bool hasCarrier = found != m_peers.end() && !found->second.address.empty() && now - found->second.lastSeen < freshSummaryAge;
        if (hasCarrier)
            targets.push_back(found->second.address);
        if (!hasCarrier || (addsFurther && contact.address != found->second.address))
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

std::vector<std::string> peer_group::neighbourNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers) {
        if (isNeighbour(peer))
            names.push_back(name);
    }
    return names;
}

std::vector<router_contact> peer_group::sampleContacts()
{
    auto sample = m_contacts.rotateOutside(m_self.dataCentre);
    const auto addresses = neighbourAddresses();
    for (std::size_t number = 0; number < std::min(sampledNeighbours, addresses.size()); ++number)
        sample.push_back({ addresses[m_sampleRotation++ % addresses.size()], m_self.dataCentre });
    return sample;
}

bool peer_group::isCarrier(instant now) const
{
    if (now < m_carrierNotBefore)
        return false;
    const auto ownHash = hashBytes(m_instance);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return isNeighbour(item.second) && hashBytes(item.first) < ownHash; });
}

void peer_group::suspendCarrier(instant now)
{
    m_carrierNotBefore = now + peerTimeout;
}

std::size_t peer_group::count() const
{
    std::size_t routers = 0;
    for (const auto& [name, peer] : m_peers)
        routers += static_cast<std::size_t>(std::max(0, peer.routers));
    return routers;
}

std::size_t peer_group::neighbourCount() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) { return isNeighbour(item.second); }));
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

std::size_t peer_group::neighboursSortedBefore() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) { return isNeighbour(item.second) && item.first < m_instance; }));
}

std::size_t peer_group::dataCentresSortedBefore() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) { return !isNeighbour(item.second) && item.second.dataCentre < m_self.dataCentre; }));
}

} // namespace kumquat::router
