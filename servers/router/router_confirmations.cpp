#include "servers/router/router_reducer.h"

#include "core/hash.h"
#include "servers/router/store_timeouts.h"

#include <algorithm>

// How a router makes sure that what it has read from the store is still the newest. A watch can't show that: while it waits, nothing
// has changed or its answer is lost. One router reads the configuration often, which the store answers at once. The revision of the
// store in that answer also shows whether the watch of the upstream records can be trusted. The other routers learn both by digests.

namespace kumquat::router {

namespace {

    // One of the routers reads the configuration this often, to confirm that no key was revoked.
    constexpr auto confirmationInterval = std::chrono::milliseconds(750);
    // Each router whose instance name sorts earlier delays this router's confirmation by this much, so that as a rule only
    // the first one reads the store.
    constexpr auto confirmationDelayPerPeer = std::chrono::milliseconds(150);
    // The same for each other data centre whose name sorts earlier. It is longer, since a confirmation takes longer from there.
    constexpr auto confirmationDelayPerDataCentre = std::chrono::milliseconds(800);
    constexpr auto maxConfirmationDelay = std::chrono::milliseconds(2500);
    constexpr auto confirmationBackoff = std::chrono::milliseconds(1000);

    // std::optional orders nothing before every value.
    std::optional<instant> latest(std::optional<instant> first, std::optional<instant> second)
    {
        return std::max(first, second);
    }

} // namespace

// Reads the configuration from the store if no router has confirmed it recently.
void router_reducer::confirmConfig()
{
    if (!m_config || m_confirmation.read != 0 || m_now < m_confirmation.notBefore)
        return;
    const auto delay = confirmationDelayPerPeer * static_cast<int>(m_peers.neighboursSortedBefore()) + confirmationDelayPerDataCentre * static_cast<int>(m_peers.dataCentresSortedBefore());
    const auto maxAge = std::min<duration>(confirmationInterval + delay, maxConfirmationDelay);
    const auto confirmed = configConfirmedAt();
    if (confirmed && m_now - *confirmed < maxAge)
        return;
    m_confirmation.read = ++m_lastId;
    m_confirmation.startedAt = m_now;
    emit(read_store { m_confirmation.read, store_kind::configuration, {}, std::nullopt, {} });
    setTimer(timer_kind::read_timeout, m_confirmation.read, m_now + readTimeout);
}

void router_reducer::acceptConfirmation(config_read&& read)
{
    m_timers.cancel({ timer_kind::read_timeout, m_confirmation.read });
    m_confirmation.read = 0;
    if (!followEra(read.era))
        return;
    auto* page = std::get_if<store_page<shared_config>>(&read.outcome);
    if (!page) {
        const auto* failed = std::get_if<store_read_failed>(&read.outcome);
        log(log_level::warning, "confirmation_failed", { { "reason", failed ? failed->reason : "the store did not answer with a list" }, { "config", std::to_string(m_config->version) } });
        m_confirmation.notBefore = m_now + confirmationBackoff;
        m_confirmation.hasFailed = true;
        return;
    }
    m_confirmation.confirmedAt = m_confirmation.startedAt;
    detectStoreReturn();
    if (std::exchange(m_confirmation.hasFailed, false))
        renewWatches(m_confirmation.startedAt);
    confirmRecords(page->revision);
    applyConfig({ std::move(page->entries), std::nullopt, {} });
}

// The store counts the changes of all its objects in one revision. If it is newer than what was read of the upstream records, the
// watch may have lost an answer, or other objects have changed.
void router_reducer::confirmRecords(std::uint64_t storeRevision)
{
    if (m_upstreamWatcher.revision() >= storeRevision)
        return m_upstreamWatcher.confirm(m_confirmation.startedAt);
    if (m_upstreamWatcher.waitsSinceBefore(m_confirmation.startedAt))
        checkRecords();
}

void router_reducer::checkRecords()
{
    emit(count_metric { "kumquat_router_record_checks_total", {} });
    cancelRead(store_kind::upstreams);
    m_upstreamWatcher.check();
}

// Begins to wait anew wherever a watch may have met the silence that is over now. Many routers notice that at the same time.
void router_reducer::renewWatches(instant startedBefore)
{
    const auto spread = hashBytes(m_options.settings.instance, m_lastId) % static_cast<std::uint64_t>(recordBatchDelay().count());
    const auto renewAt = m_now + duration(spread);
    const auto renew = [&](auto& watcher, store_kind kind) {
        if (!watcher.waitsSinceBefore(startedBefore))
            return;
        cancelRead(kind);
        watcher.renew(renewAt);
    };
    renew(m_upstreamWatcher, store_kind::upstreams);
    renew(m_configWatcher, store_kind::configuration);
}

bool router_reducer::storeIsAnswering() const
{
    const auto confirmed = configConfirmedAt();
    return confirmed && m_now - *confirmed <= maxConfirmationGap;
}

// A router that has only watches in progress learns from the confirmations of the others that the store was silent.
void router_reducer::detectStoreReturn()
{
    const bool isAnswering = storeIsAnswering();
    if (isAnswering && !m_storeIsAnswering) {
        m_storeHealthySince = m_now;
        renewWatches(*configConfirmedAt());
    }
    m_storeIsAnswering = isAnswering;
}

// Other routers have probably missed them too, and are told at the next opportunity.
void router_reducer::reportMissedChanges(std::size_t count)
{
    log(log_level::warning, "watch_missed_changes", { { "changes", std::to_string(count) }, { "records", toString(positionOf(m_upstreamWatcher.revision())) } });
    m_idleDigests = 0;
    m_idleSummaries = 0;
}

std::optional<instant> router_reducer::ownConfirmedAt() const
{
    if (!m_config || m_storedConfigVersion < m_config->version)
        return m_confirmedBeforeRestore;
    return latest(m_confirmedBeforeRestore, latest(m_configWatcher.confirmedAt(), m_confirmation.confirmedAt));
}

std::optional<instant> router_reducer::configConfirmedAt() const
{
    const auto ownConfirmation = ownConfirmedAt();
    // Confirmations by other routers count only once this router has read the configuration itself.
    if (!ownConfirmation)
        return std::nullopt;
    return latest(ownConfirmation, m_peers.confirmedAt(m_configPosition, m_config->version));
}

std::optional<instant> router_reducer::recordsConfirmedAt() const
{
    const auto ownConfirmation = m_upstreamWatcher.confirmedAt();
    if (!ownConfirmation)
        return std::nullopt;
    return latest(ownConfirmation, m_peers.recordsConfirmedAt(readPositions().records));
}

} // namespace kumquat::router
