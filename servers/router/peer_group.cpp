#include "servers/router/peer_group.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A router whose last digest is older than this is removed.
    constexpr auto silenceLimit = std::chrono::milliseconds(1500);
    constexpr auto candidateTime = std::chrono::seconds(3);
    constexpr auto seedInterval = std::chrono::milliseconds(500);
    constexpr auto intervalOfPeer = std::chrono::milliseconds(6);
    constexpr auto shortestInterval = std::chrono::milliseconds(50);
    constexpr auto longestInterval = std::chrono::milliseconds(400);
    // The longest transit time of a digest that is allowed for, so that a confirmation is never taken for newer than it is.
    constexpr auto transitSlack = std::chrono::milliseconds(100);

    void add(outstanding_load& total, const outstanding_load& part, int sign)
    {
        total.inFlight += sign * part.inFlight;
        total.streams += sign * part.streams;
        total.uncachedPromptTokens += sign * part.uncachedPromptTokens;
    }

} // namespace

void peer_group::setAddresses(const std::string& own, const std::vector<std::string>& seeds)
{
    m_own = own;
    m_seeds = seeds;
}

bool peer_group::accept(const std::string& address, const router_digest& digest, instant now)
{
    auto& known = m_peers[digest.instance];
    if (known.incarnation == digest.incarnation && digest.sequence <= known.sequence)
        return false;
    if (digest.leaving) {
        replaceLoads(known, {});
        m_peers.erase(digest.instance);
        return true;
    }
    known.address = address;
    known.incarnation = digest.incarnation;
    known.sequence = digest.sequence;
    known.heardAt = now;
    known.configRevision = digest.configRevision;
    known.configConfirmedAt.reset();
    if (digest.configAge)
        known.configConfirmedAt = now - *digest.configAge - transitSlack;
    known.upstreamRevision = digest.upstreamRevision;
    replaceLoads(known, digest.loads);
    m_candidates.erase(address);
    for (const auto& member : digest.members) {
        const bool isKnown = member == m_own || std::any_of(m_peers.begin(), m_peers.end(), [&member](const auto& item) { return item.second.address == member; });
        if (!isKnown)
            m_candidates.emplace(member, now + candidateTime);
    }
    return true;
}

void peer_group::replaceLoads(peer& known, const std::vector<outstanding_load>& loads)
{
    for (const auto& load : known.loads)
        add(m_totals[load.upstream], load, -1);
    known.loads = loads;
    for (const auto& load : known.loads)
        add(m_totals[load.upstream], load, 1);
}

void peer_group::expire(instant now)
{
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (now - item->second.heardAt < silenceLimit) {
            ++item;
            continue;
        }
        replaceLoads(item->second, {});
        item = m_peers.erase(item);
    }
    std::erase_if(m_candidates, [now](const auto& item) { return item.second <= now; });
}

void peer_group::forgetConfirmations()
{
    for (auto& [instance, known] : m_peers)
        known.configConfirmedAt.reset();
}

std::vector<std::string> peer_group::addresses(instant now)
{
    auto targets = heard();
    for (const auto& [address, until] : m_candidates)
        targets.push_back(address);
    if (now - m_seedsTriedAt < seedInterval)
        return targets;
    m_seedsTriedAt = now;
    for (const auto& seed : m_seeds) {
        if (seed != m_own && std::find(targets.begin(), targets.end(), seed) == targets.end())
            targets.push_back(seed);
    }
    return targets;
}

std::vector<std::string> peer_group::heard() const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_peers.size());
    for (const auto& [instance, known] : m_peers)
        addresses.push_back(known.address);
    return addresses;
}

duration peer_group::interval() const
{
    const auto span = intervalOfPeer * static_cast<int>(m_peers.size());
    return std::clamp<duration>(span, shortestInterval, longestInterval);
}

outstanding_load peer_group::loadOf(std::uint32_t upstream) const
{
    const auto found = m_totals.find(upstream);
    return found == m_totals.end() ? outstanding_load {} : found->second;
}

std::uint64_t peer_group::newestConfig() const
{
    std::uint64_t newest = 0;
    for (const auto& [instance, known] : m_peers)
        newest = std::max(newest, known.configRevision);
    return newest;
}

std::uint64_t peer_group::newestUpstreams() const
{
    std::uint64_t newest = 0;
    for (const auto& [instance, known] : m_peers)
        newest = std::max(newest, known.upstreamRevision);
    return newest;
}

std::optional<instant> peer_group::confirmedAt(std::uint64_t configRevision) const
{
    std::optional<instant> latest;
    for (const auto& [instance, known] : m_peers) {
        if (known.configRevision == configRevision && known.configConfirmedAt && (!latest || *known.configConfirmedAt > *latest))
            latest = known.configConfirmedAt;
    }
    return latest;
}

std::size_t peer_group::countBefore(const std::string& instance) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&instance](const auto& item) { return item.first < instance; }));
}

} // namespace kumquat::router
