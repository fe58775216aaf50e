#include "core/memory_shares.h"
#include "servers/router/router_reducer.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // An idle router sends a digest at least this often, so that the others do not remove it.
    constexpr auto heartbeatInterval = std::chrono::milliseconds(400);
    // The first digests without load follow at the usual interval, since one alone may be lost.
    constexpr int repeatedIdleDigests = 3;
    // If other routers have known of a change for longer than this, this router checks what has changed.
    constexpr auto checkTolerance = std::chrono::milliseconds(100);
    // After this time its watch is assumed to have failed silently, and everything is listed again.
    constexpr auto watchLagTolerance = std::chrono::milliseconds(400);
    // Each answer to a watch is a load on the store, so each router waits longer between watches the more routers there are.
    constexpr auto batchDelayPerPeer = std::chrono::milliseconds(15);
    constexpr auto minRecordBatchDelay = std::chrono::milliseconds(50);
    constexpr auto maxRecordBatchDelay = std::chrono::milliseconds(500);

    // A router that hears no other one reads this often from the store what the others refuse.
    constexpr auto refusalListIntervalAlone = std::chrono::seconds(2);
    // After a stall, messages that waited in the sockets are read within this time.
    constexpr auto waitingMessagesTime = std::chrono::milliseconds(500);
    // The first parts of ordinary prompts fit in so many entries, however many upstreams there are.
    constexpr std::size_t minModelledParts = 64;
    // So many loads fit in a datagram beside the prompt parts, the news of crashes and the limits, which share their space.
    constexpr std::size_t maxLoadsPerDigest = 36;
    // A limit takes as much space as this many prompt parts.
    constexpr std::size_t spaceOfLimit = 2;
    constexpr std::size_t maxCrashNewsPerDigest = 18;

    // Adds one slice of the loads to a digest, another one for each rotation.
    void addLoads(router_digest& digest, std::vector<outstanding_load> loads, std::uint32_t rotation)
    {
        digest.slice.count = 1 + static_cast<std::uint32_t>(loads.size() / maxLoadsPerDigest);
        digest.slice.index = rotation % digest.slice.count;
        std::erase_if(loads, [&digest](const outstanding_load& load) { return load.upstream % digest.slice.count != digest.slice.index; });
        // Keys are hashes, so a slice is rarely much larger than the others; what exceeds the datagram is left out.
        loads.resize(std::min(loads.size(), maxLoadsPerDigest));
        digest.loads = std::move(loads);
    }

    // Adds the newest prompt parts to a digest that has its news of crashes and its limits: they are the ones that the engines still have cached.
    void addCachedParts(router_digest& digest, const std::vector<cached_prompt_part>& parts, std::size_t maxPartsAndNews)
    {
        const auto used = std::min(maxPartsAndNews, digest.crashNews.size() + digest.limits.size() * spaceOfLimit);
        const auto count = std::min(parts.size(), maxPartsAndNews - used);
        digest.cachedParts.assign(parts.end() - static_cast<std::ptrdiff_t>(count), parts.end());
    }

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

void router_reducer::exchangeDigests()
{
    const auto previousPeerCount = m_peers.count();
    m_peers.expire(m_now);
    if (m_peers.count() != previousPeerCount)
        log(log_level::warning, "peer_lost", { { "peers", std::to_string(m_peers.count()) } });
    m_retryLimiter.setOptions(retryOptions());
    refreshShares();
    m_upstreamWatcher.setBatchDelay(recordBatchDelay());
    detectStoreReturn();
    detectStaleWatch();
    checkOutdatedRecords();
    reportFreshness();
    if (!keysAreFresh(m_now))
        restartVersionHistory();
    confirmConfig();
    setTimer(timer_kind::digest, 0, m_now + m_peers.digestInterval());
    if (m_peers.count() == 0)
        m_refusalStore.requestListOlderThan(refusalListIntervalAlone, m_now);
    m_crashes.judgeSettled(m_now);
    actOnNewRefusals();
    for (const auto& [service, share] : m_gapProtection.takeChanges(m_now)) {
        log(log_level::info, "engines_reserved", { { "service", service }, { "share", share ? std::to_string(*share) : "none" } });
        emit(count_metric { "kumquat_router_reservation_changes_total", { { "service", service } } });
    }
    const bool idle = m_requests.empty() && m_recentCachedParts.empty() && !m_shutdown;
    m_idleDigests = idle ? m_idleDigests + 1 : 0;
    if (m_idleDigests > repeatedIdleDigests && m_now - m_digestSentAt < heartbeatInterval)
        return;
    m_digestSentAt = m_now;
    auto addresses = m_peers.digestTargets(m_now);
    if (addresses.empty())
        return static_cast<void>(m_recentCachedParts.take());
    emit(send_digest { std::move(addresses), makeDigest() });
}

router_digest router_reducer::makeDigest()
{
    router_digest digest;
    digest.incarnation = m_options.incarnation;
    digest.sequence = ++m_digestSequence;
    digest.leaving = m_shutdown && m_requests.empty();
    addStoreState(digest);
    // Contains only what this router has confirmed with the store itself. Passing on the confirmations of others would let
    // routers confirm one another for ever.
    if (const auto confirmed = ownConfirmedAt())
        digest.configAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *confirmed);
    if (const auto confirmed = m_upstreamWatcher.confirmedAt())
        digest.recordsAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *confirmed);
    digest.members = m_peers.sampleContacts();
    addLoads(digest, ownLoads(), m_digestSlice++);
    digest.crashNews = m_crashes.ownNews(maxCrashNewsPerDigest, m_now);
    digest.limits = limitReports(digest_scope::router, m_digestSlice);
    digest.soleVersions = soleVersionReports(m_digestSlice);
    digest.reservations = m_gapProtection.ownReports(m_now);
    digest.leavingUpstreams = recentLeavingUpstreams();
    m_summaryCachedParts.add(m_recentCachedParts.parts());
    addCachedParts(digest, m_recentCachedParts.take(), maxPartsPerDigest);
    return digest;
}

void router_reducer::addStoreState(router_digest& digest) const
{
    digest.instance = m_options.settings.instance;
    digest.dataCentre = m_options.settings.dataCentre;
    digest.storeEra = m_storeEra.value_or(0);
    digest.configPosition = m_configPosition;
    digest.configVersion = m_config ? m_config->version : 0;
    digest.upstreamPosition = m_newestRecordPosition;
}

std::vector<outstanding_load> router_reducer::ownLoads() const
{
    std::vector<outstanding_load> loads;
    for (const auto& item : m_upstreams.all()) {
        if (item->inFlight > 0)
            loads.push_back({ item->key, item->inFlight, item->streams, static_cast<int>(item->uncachedPromptTokens) });
    }
    return loads;
}

void router_reducer::sendSummary()
{
    setTimer(timer_kind::summary, 0, m_now + m_peers.summaryInterval());
    const auto recentParts = m_summaryCachedParts.take();
    if (!m_peers.isAggregator(m_now) || (m_shutdown && m_requests.empty()))
        return;
    auto summary = makeSummary();
    addCachedParts(summary, recentParts, maxPartsPerDigest);
    const bool idle = summary.loads.empty() && summary.slice.count == 1 && summary.cachedParts.empty();
    m_idleSummaries = idle ? m_idleSummaries + 1 : 0;
    if (m_idleSummaries > repeatedIdleDigests && m_now - m_summarySentAt < heartbeatInterval)
        return;
    m_summarySentAt = m_now;
    auto addresses = m_peers.summaryTargets(m_now);
    if (!addresses.empty())
        emit(send_digest { std::move(addresses), std::move(summary) });
}

router_digest router_reducer::makeSummary()
{
    router_digest summary;
    summary.scope = digest_scope::data_centre;
    summary.incarnation = m_options.incarnation;
    summary.sequence = ++m_digestSequence;
    summary.routers = static_cast<int>(m_peers.neighbourCount()) + 1;
    addStoreState(summary);
    // Only confirmations of this data centre: those of others must not return to them.
    const auto confirmed = m_config ? std::max(ownConfirmedAt(), m_peers.confirmedInDataCentre(m_configPosition, m_config->version)) : std::nullopt;
    if (confirmed)
        summary.configAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *confirmed);
    if (const auto own = m_upstreamWatcher.confirmedAt())
        summary.recordsAge = std::chrono::ceil<std::chrono::milliseconds>(m_now - *std::max(own, m_peers.recordsConfirmedInDataCentre(readPositions().records)));
    summary.members = m_peers.sampleContacts();
    addLoads(summary, m_peers.sumOfDataCentre(ownLoads()), m_summarySlice++);
    summary.crashNews = m_crashes.dataCentreNews(maxCrashNewsPerDigest, m_now);
    summary.limits = limitReports(digest_scope::data_centre, m_summarySlice);
    summary.soleVersions = soleVersionReports(m_summarySlice);
    summary.reservations = m_gapProtection.dataCentreReports(m_now);
    summary.leavingUpstreams = recentLeavingUpstreams();
    const auto others = m_peers.leavingInDataCentre();
    summary.leavingUpstreams.insert(summary.leavingUpstreams.end(), others.begin(), others.end());
    return summary;
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
