#include "core/memory_shares.h"
#include "servers/router/router_reducer.h"

#include <algorithm>

// What a router learns from the digests of the others, and how it notices that its own knowledge is older than theirs.

namespace kumquat::router {

namespace {

    // If other routers have known of a change for longer than this, this router checks what has changed.
    constexpr auto checkTolerance = std::chrono::milliseconds(100);
    // After this time its watch is assumed to have failed silently, and everything is listed again.
    constexpr auto watchLagTolerance = std::chrono::milliseconds(400);
    // Each answer to a watch is a load on the store, so each router waits longer between watches the more routers there are.
    constexpr auto batchDelayPerPeer = std::chrono::milliseconds(15);
    constexpr auto minRecordBatchDelay = std::chrono::milliseconds(50);
    constexpr auto maxRecordBatchDelay = std::chrono::milliseconds(500);

    // After a stall, messages that waited in the sockets are read within this time.
    constexpr auto waitingMessagesTime = std::chrono::milliseconds(500);
    // The first parts of ordinary prompts fit in so many entries, however many upstreams there are.
    constexpr std::size_t minModelledParts = 64;

} // namespace

void router_reducer::on(digest_received&& received)
{
    const auto& digest = received.digest;
    const bool isOwnDataCentre = digest.dataCentre == m_options.settings.dataCentre;
    if (digest.instance == m_options.settings.instance)
        return;
    if (digest.scope == digest_scope::router && !isOwnDataCentre)
        return introduce(received);
    if (digest.scope == digest_scope::data_centre && isOwnDataCentre)
        return;
    const auto previousPeerCount = m_peers.neighbourCount();
    if (!m_peers.accept(received.address, digest, m_now))
        return;
    if (m_peers.neighbourCount() != previousPeerCount)
        log(log_level::info, digest.leaving ? "peer_left" : "peer_heard", { { "peer", digest.instance }, { "address", received.address }, { "peers", std::to_string(m_peers.count()) } });
    if (digest.leaving && digest.scope == digest_scope::router)
        m_census.remove(digest.instance);
    learnFromDigest(digest);
    if (digest.scope == digest_scope::data_centre && !digest.relayed) {
        auto relayed = std::move(received.digest);
        relayed.relayed = true;
        emit(send_digest { m_peers.neighbourAddresses(), std::move(relayed) });
    }
}

void router_reducer::learnFromDigest(const router_digest& digest)
{
    checkPeerEra(digest.storeEra);
    m_crashes.learn(digest.crashNews, digest.scope == digest_scope::router ? news_origin::own_data_centre : news_origin::other_data_centre, m_now);
    actOnNewRefusals();
    for (const auto& leaving : digest.leavingUpstreams) {
        const auto upstream = m_upstreams.find(leaving.id);
        if (upstream && upstream->record.startedUnixMs == leaving.startedUnixMs && !upstream->announcedLeaving)
            markLeaving(*upstream, digest.instance);
    }
    learnLimits(digest);
    learnSoleVersions(digest);
    m_gapProtection.learn(digest, m_now);
    for (const auto& part : digest.cachedParts) {
        if (const auto upstream = m_upstreams.findByKey(part.upstream))
            upstream->promptCache.recordPart({ part.part, part.tokens }, promptCacheBounds(upstream->record.service));
    }
    if (digest.scope == digest_scope::router)
        m_summaryCachedParts.add(digest.cachedParts);
}

void router_reducer::introduce(const digest_received& received)
{
    auto answer = makeSummary();
    answer.members = m_peers.contactsWithin(received.digest.dataCentre);
    m_peers.addContact({ received.address, received.digest.dataCentre }, m_now);
    emit(send_digest { { received.address }, std::move(answer) });
}

void router_reducer::on(clock_jumped&& jumped)
{
    log(log_level::warning, "clock_jumped", { { "gap_ms", formatMilliseconds(jumped.gap) } });
    m_peers.discardConfirmations();
    m_peers.suspendAggregator(m_now);
    m_census.unsettle(m_now);
    cancelRead(store_kind::upstreams);
    cancelRead(store_kind::configuration);
    m_upstreamWatcher.resetAndRelist();
    m_configWatcher.resetAndRelist();
    m_confirmation = {};
    m_confirmedBeforeRestore.reset();
    m_refusalStore.requestList();
    restartVersionHistory();
}

// Digests and the answer to a watch may have waited in the socket, so what they confirm may be older than they say. The
// answer to a list is not affected, because it confirms the time at which the list was requested.
void router_reducer::on(process_stalled&& stalled)
{
    log(log_level::warning, "process_stalled", { { "gap_ms", formatMilliseconds(stalled.gap) } });
    m_peers.distrustConfirmations(m_now + waitingMessagesTime);
    m_peers.suspendAggregator(m_now);
    m_census.unsettle(m_now);
    cancelRead(store_kind::configuration);
    m_configWatcher.relist();
    if (m_upstreamWatcher.waitsSinceBefore(m_now))
        checkRecords();
    restartVersionHistory();
}

prompt_cache_bounds router_reducer::promptCacheBounds(const std::string& service) const
{
    if (!m_config)
        return {};
    const auto found = m_config->services.find(service);
    if (found == m_config->services.end() || !found->second.engine)
        return {};
    return { found->second.engine->kvCacheTokens, modelledPartsOfUpstream() };
}

std::size_t router_reducer::modelledPartsOfUpstream() const
{
    return shareOfUpstream(divideMemory(memoryOf(m_options.settings)).promptCacheParts, m_upstreams.size(), minModelledParts);
}

// The share of each upstream becomes smaller when there are more of them, also of one to which nothing is sent any more.
void router_reducer::limitPromptCaches()
{
    const auto parts = modelledPartsOfUpstream();
    for (const auto& upstream : m_upstreams.all())
        upstream->promptCache.limitParts(parts);
}

// A list or an answer to a watch has all changes up to its revision. Its entries alone may have older ones, since the newest record
// may have been removed before this router started.
read_positions router_reducer::readPositions() const
{
    return { m_configPosition, std::max(m_newestRecordPosition, positionOf(m_upstreamWatcher.revision())) };
}

// Lists everything again if the other routers have read newer revisions for so long that this router's watch must have
// failed silently.
void router_reducer::detectStaleWatch()
{
    const auto own = readPositions();
    const read_positions others { m_peers.newestConfigPosition(), m_peers.newestUpstreamPosition() };
    m_watchLag.update(own, others, m_now);
    if (m_watchLag.exceeds(checkTolerance, m_now) && own.records < others.records && m_upstreamWatcher.waitsSinceBefore(m_now - checkTolerance))
        checkRecords();
    if (!m_watchLag.exceeds(watchLagTolerance + recordBatchDelay(), m_now) || !m_upstreamsListed || !m_config)
        return;
    log(log_level::warning, "watch_behind_peers", { { "config_revision", toString(own.config) }, { "peers_config", toString(others.config) }, { "record", toString(own.records) }, { "peers_record", toString(others.records) } });
    m_watchLag.restart();
    cancelRead(store_kind::upstreams);
    cancelRead(store_kind::configuration);
    m_upstreamWatcher.relist();
    m_configWatcher.relist();
    restartVersionHistory();
}

// How long to wait after changed upstream records before the next watch, so that more changes arrive in one answer.
duration router_reducer::recordBatchDelay() const
{
    return std::clamp<duration>(batchDelayPerPeer * static_cast<int>(m_peers.count()), minRecordBatchDelay, maxRecordBatchDelay);
}

} // namespace kumquat::router
