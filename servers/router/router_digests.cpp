#include "servers/router/router_reducer.h"

#include <algorithm>

// What a router tells the others: its own digests to the routers of its data centre, and summaries of its data centre to the others.

namespace kumquat::router {

namespace {

    // An idle router sends a digest at least this often, so that the others do not remove it.
    constexpr auto heartbeatInterval = std::chrono::milliseconds(400);
    // The first digests without load follow at the usual interval, since one alone may be lost.
    constexpr int repeatedIdleDigests = 3;
    // A router that hears no other one reads this often from the store what the others refuse.
    constexpr auto refusalListIntervalAlone = std::chrono::seconds(2);
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

} // namespace kumquat::router
