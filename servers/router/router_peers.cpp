#include "servers/router/router_reducer.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // An idle router sends a digest at least this often, so that the others do not remove it.
    constexpr auto heartbeatInterval = std::chrono::milliseconds(400);
    // If other routers have known of a change for longer than this, this router's watch is assumed to have failed silently.
    constexpr auto watchLagTolerance = std::chrono::milliseconds(400);
    // Each answer to a watch is a load on the store, so each router waits longer between watches the more routers there are.
    constexpr auto batchDelayPerPeer = std::chrono::milliseconds(15);
    constexpr auto minRecordBatchDelay = std::chrono::milliseconds(50);
    constexpr auto maxRecordBatchDelay = std::chrono::milliseconds(500);

} // namespace

void router_reducer::on(digest_received&& received)
{
    if (received.digest.instance == m_options.settings.instance)
        return;
    const auto previousPeerCount = m_peers.count();
    if (!m_peers.accept(received.address, received.digest, m_now))
        return;
    if (m_peers.count() != previousPeerCount)
        log(log_level::info, received.digest.leaving ? "peer_left" : "peer_heard", { { "peer", received.digest.instance }, { "address", received.address }, { "peers", std::to_string(m_peers.count()) } });
    checkPeerEra();
    m_crashes.setPeerCounts(received.digest.instance, received.digest.suspects, m_now);
    for (const auto& leaving : received.digest.leavingUpstreams) {
        const auto upstream = m_upstreams.find(leaving.id);
        if (upstream && upstream->record.startedUnixMs == leaving.startedUnixMs && !upstream->announcedLeaving)
            markLeaving(*upstream, received.digest.instance);
    }
    for (const auto& part : received.digest.cachedParts) {
        if (const auto upstream = m_upstreams.findByKey(part.upstream))
            upstream->promptCache.recordPart({ part.part, part.tokens }, engineKvCacheTokens(upstream->record.service));
    }
}

void router_reducer::on(clock_jumped&& jumped)
{
    log(log_level::warning, "clock_jumped", { { "gap_ms", formatMilliseconds(jumped.gap) } });
    m_peers.discardConfirmations();
    cancelRead(store_kind::upstreams);
    cancelRead(store_kind::configuration);
    m_upstreamWatcher.resetAndRelist();
    m_configWatcher.resetAndRelist();
    m_confirmation = {};
    m_confirmedBeforeRestore.reset();
}

std::int64_t router_reducer::engineKvCacheTokens(const std::string& service) const
{
    if (!m_config)
        return 0;
    const auto found = m_config->services.find(service);
    return found != m_config->services.end() && found->second.engine ? found->second.engine->kvCacheTokens : 0;
}

void router_reducer::exchangeDigests()
{
    const auto previousPeerCount = m_peers.count();
    m_peers.expire(m_now);
    if (m_peers.count() != previousPeerCount)
        log(log_level::warning, "peer_lost", { { "peers", std::to_string(m_peers.count()) } });
    m_retryLimiter.setOptions(retryOptions());
    m_upstreamWatcher.setBatchDelay(recordBatchDelay());
    detectStaleWatch();
    confirmConfig();
    setTimer(timer_kind::digest, 0, m_now + m_peers.digestInterval());
    const bool idle = m_requests.empty() && m_recentCachedParts.empty() && !m_terminating;
    if (idle && m_now - m_digestSentAt < heartbeatInterval)
        return;
    m_digestSentAt = m_now;
    auto addresses = m_peers.digestTargets(m_now);
    if (addresses.empty())
        return m_recentCachedParts.clear();
    emit(send_digest { std::move(addresses), makeDigest() });
}

router_digest router_reducer::makeDigest()
{
    router_digest digest;
    digest.instance = m_options.settings.instance;
    digest.incarnation = m_options.incarnation;
    digest.sequence = ++m_digestSequence;
    digest.leaving = m_terminating && m_requests.empty();
    digest.storeEra = m_storeEra.value_or(0);
    digest.configPosition = m_configPosition;
    digest.configVersion = m_config ? m_config->version : 0;
    // Contains only what this router has confirmed with the store itself. Passing on the confirmations of others would let
    // routers confirm one another for ever.
    if (const auto confirmed = ownConfirmedAt())
        digest.configAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *confirmed);
    digest.upstreamPosition = m_newestRecordPosition;
    digest.members = m_peers.memberAddresses();
    for (const auto& item : m_upstreams.all()) {
        if (item->inFlight > 0)
            digest.loads.push_back({ item->key, item->inFlight, item->streams, static_cast<int>(item->uncachedPromptTokens) });
    }
    digest.suspects = m_crashes.ownCounts(m_now);
    digest.leavingUpstreams = recentLeavingUpstreams();
    digest.cachedParts = std::exchange(m_recentCachedParts, {});
    return digest;
}

// Lists everything again if the other routers have read newer revisions for so long that this router's watch must have
// failed silently.
void router_reducer::detectStaleWatch()
{
    const bool behind = m_peers.newestConfigPosition() > m_configPosition || m_peers.newestUpstreamPosition() > m_newestRecordPosition;
    if (!behind)
        m_behindPeersSince.reset();
    else if (!m_behindPeersSince)
        m_behindPeersSince = m_now;
    else if (m_now - *m_behindPeersSince > watchLagTolerance + recordBatchDelay() && m_upstreamsListed && m_config) {
        log(log_level::warning, "watch_behind_peers", { { "config_revision", toString(m_configPosition) }, { "peers_config", toString(m_peers.newestConfigPosition()) }, { "record", toString(m_newestRecordPosition) }, { "peers_record", toString(m_peers.newestUpstreamPosition()) } });
        m_behindPeersSince.reset();
        cancelRead(store_kind::upstreams);
        cancelRead(store_kind::configuration);
        m_upstreamWatcher.relist();
        m_configWatcher.relist();
    }
}

// How long to wait after changed upstream records before the next watch, so that more changes arrive in one answer.
duration router_reducer::recordBatchDelay() const
{
    return std::clamp<duration>(batchDelayPerPeer * static_cast<int>(m_peers.count()), minRecordBatchDelay, maxRecordBatchDelay);
}

} // namespace kumquat::router
