#include "servers/router/router_reducer.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // A router with nothing to tell is still heard this often.
    constexpr auto heartbeatInterval = std::chrono::milliseconds(400);
    // Another router may know of a change this much earlier before this one's watch is taken for dead.
    constexpr auto watchLag = std::chrono::milliseconds(400);
    // Each router pays for an answer of the store to its watch, so that many watch less often.
    constexpr auto recordPaceOfPeer = std::chrono::milliseconds(15);
    constexpr auto shortestRecordPace = std::chrono::milliseconds(50);
    constexpr auto longestRecordPace = std::chrono::milliseconds(500);

} // namespace

void router_reducer::on(digest_received&& received)
{
    if (received.digest.instance == m_options.settings.instance)
        return;
    const auto before = m_peers.count();
    if (!m_peers.accept(received.address, received.digest, m_now))
        return;
    if (m_peers.count() != before)
        log(log_level::info, received.digest.leaving ? "peer_left" : "peer_heard", { { "peer", received.digest.instance }, { "address", received.address }, { "peers", std::to_string(m_peers.count()) } });
    m_crashes.setPeer(received.digest.instance, received.digest.suspects, m_now);
    for (const auto& part : received.digest.parts) {
        if (const auto upstream = m_upstreams.findByKey(part.upstream))
            upstream->memory.usePart({ part.part, part.tokens }, engineMemory(upstream->record.service));
    }
}

void router_reducer::on(clock_jumped&& jumped)
{
    log(log_level::warning, "clock_jumped", { { "gap_ms", formatMilliseconds(jumped.gap) } });
    m_peers.forgetConfirmations();
    restartRead(store_kind::upstreams);
    restartRead(store_kind::configuration);
    m_upstreamFollower.startOver();
    m_configFollower.startOver();
    m_confirmation = {};
}

std::int64_t router_reducer::engineMemory(const std::string& service) const
{
    if (!m_config)
        return 0;
    const auto terms = m_config->services.find(service);
    return terms != m_config->services.end() && terms->second.engine ? terms->second.engine->memoryTokens : 0;
}

void router_reducer::exchangeDigests()
{
    const auto before = m_peers.count();
    m_peers.expire(m_now);
    if (m_peers.count() != before)
        log(log_level::warning, "peer_lost", { { "peers", std::to_string(m_peers.count()) } });
    m_retries.setOptions(retryOptions());
    m_upstreamFollower.setPace(recordPace());
    checkAgainstPeers();
    confirmConfig();
    setTimer(timer_kind::digest, 0, m_now + m_peers.interval());
    const bool idle = m_requests.empty() && m_placedParts.empty() && !m_terminating;
    if (idle && m_now - m_digestSentAt < heartbeatInterval)
        return;
    m_digestSentAt = m_now;
    auto addresses = m_peers.addresses(m_now);
    if (addresses.empty())
        return m_placedParts.clear();
    emit(send_digest { std::move(addresses), makeDigest() });
}

router_digest router_reducer::makeDigest()
{
    router_digest digest;
    digest.instance = m_options.settings.instance;
    digest.incarnation = m_options.incarnation;
    digest.sequence = ++m_digestSequence;
    digest.leaving = m_terminating && m_requests.empty();
    digest.configRevision = m_configRevision;
    // Only what the store itself has told this router, so that no confirmation goes in circles.
    if (const auto confirmed = ownConfirmedAt())
        digest.configAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *confirmed);
    digest.upstreamRevision = m_newestRecord;
    digest.members = m_peers.heard();
    for (const auto& item : m_upstreams.all()) {
        if (item->inFlight > 0)
            digest.loads.push_back({ item->key, item->inFlight, item->streams, static_cast<int>(item->uncachedPromptTokens) });
    }
    digest.suspects = m_crashes.own(m_now);
    digest.parts = std::exchange(m_placedParts, {});
    return digest;
}

// What other routers know shows when this one's watch has died.
void router_reducer::checkAgainstPeers()
{
    const bool behind = m_peers.newestConfig() > m_configRevision || m_peers.newestUpstreams() > m_newestRecord;
    if (!behind)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = m_now;
    else if (m_now - *m_behindSince > watchLag + recordPace() && m_upstreamsKnown && m_config) {
        log(log_level::warning, "watch_behind_peers", { { "config_revision", std::to_string(m_configRevision) }, { "peers_config", std::to_string(m_peers.newestConfig()) }, { "record", std::to_string(m_newestRecord) }, { "peers_record", std::to_string(m_peers.newestUpstreams()) } });
        m_behindSince.reset();
        restartRead(store_kind::upstreams);
        restartRead(store_kind::configuration);
        m_upstreamFollower.listAfresh();
        m_configFollower.listAfresh();
    }
}

// How long to wait for more changes of upstream records.
duration router_reducer::recordPace() const
{
    return std::clamp<duration>(recordPaceOfPeer * static_cast<int>(m_peers.count()), shortestRecordPace, longestRecordPace);
}

std::optional<instant> router_reducer::ownConfirmedAt() const
{
    const auto followed = m_configFollower.confirmedAt();
    if (!followed || !m_confirmation.confirmedAt)
        return followed;
    return std::max(*followed, *m_confirmation.confirmedAt);
}

std::optional<instant> router_reducer::configConfirmedAt() const
{
    const auto own = ownConfirmedAt();
    const auto others = m_peers.confirmedAt(m_configRevision);
    // A router that has not read the configuration itself trusts nobody's word on it.
    if (!own || !others)
        return own;
    return std::max(*own, *others);
}

} // namespace kumquat::router
