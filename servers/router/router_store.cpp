#include "servers/router/router_reducer.h"

#include "core/overloaded.h"
#include "servers/router/store_timeouts.h"

namespace kumquat::router {

namespace {

    // The store answers a watch after this time if nothing has changed. This value applies to a router without peers.
    constexpr auto watchTimeoutAlone = std::chrono::milliseconds(6000);
    // The same for a router with peers, whose digests reveal changes that a failed watch misses.
    constexpr auto watchTimeoutWithPeers = std::chrono::milliseconds(20000);
    // A check of what has changed is a watch that doesn't wait.
    constexpr auto checkTimeout = std::chrono::milliseconds(1);

} // namespace

void router_reducer::startRead(store_kind kind, const store_read_request& request)
{
    const auto id = ++m_lastId;
    const auto longWatch = m_peers.count() > 0 ? watchTimeoutWithPeers : watchTimeoutAlone;
    const auto watchTimeout = request.isCheck ? checkTimeout : longWatch;
    // A list that was cut off because it takes long would never end.
    if (!request.sinceRevision)
        m_watchLag.postpone(m_now);
    (kind == store_kind::upstreams ? m_upstreamRead : m_configRead) = id;
    emit(read_store { id, kind, request.after, request.sinceRevision, watchTimeout });
    setTimer(timer_kind::read_timeout, id, m_now + readTimeout + (request.sinceRevision ? watchTimeout : std::chrono::milliseconds(0)));
}

void router_reducer::readUpstreams()
{
    if (const auto request = m_upstreamWatcher.nextRead(m_now))
        return startRead(store_kind::upstreams, *request);
    if (const auto notBefore = m_upstreamWatcher.nextReadAt())
        setTimer(timer_kind::upstream_reads, 0, *notBefore);
}

void router_reducer::readConfig()
{
    if (const auto request = m_configWatcher.nextRead(m_now))
        return startRead(store_kind::configuration, *request);
    if (const auto notBefore = m_configWatcher.nextReadAt())
        setTimer(timer_kind::config_reads, 0, *notBefore);
}

void router_reducer::cancelRead(store_kind kind)
{
    auto& read = kind == store_kind::upstreams ? m_upstreamRead : m_configRead;
    if (read == 0)
        return;
    emit(cancel_store_read { read });
    m_timers.cancel({ timer_kind::read_timeout, read });
    read = 0;
}

// A slow answer is worth waiting for: giving it up and asking again would only add to the load of the store.
void router_reducer::on(store_read_progressed&& progressed)
{
    const auto read = progressed.read;
    if (read != 0 && (read == m_upstreamRead || read == m_configRead || read == m_confirmation.read))
        setTimer(timer_kind::read_timeout, read, m_now + readTimeout);
    if (read != 0 && (read == m_upstreamRead || read == m_configRead))
        m_watchLag.postpone(m_now);
}

// A read that fails says nothing of the store if that has answered a later one, or another call a short time before: watches are cut off
// while it answers all others.
void router_reducer::updateStoreHealth(const std::string& failure, const read_in_progress& read)
{
    if (!failure.empty())
        m_storeIsLost = m_storeIsLost || configConfirmedAt() <= read.startedAt;
    if (!failure.empty() && read.followsAnswer)
        log(log_level::warning, "store_lost", { { "reason", failure } });
    if (failure.empty() && !read.followsAnswer) {
        if (std::exchange(m_storeIsLost, false) && !read.storeWasAnswering)
            m_storeHealthySince = m_now;
        // The first reads of a router that starts have lost nothing.
        if (m_upstreamsListed && m_config)
            renewWatches(m_now);
        log(log_level::info, "store_regained", { { "records", toString(positionOf(m_upstreamWatcher.revision())) }, { "config_revision", toString(positionOf(m_configWatcher.revision())) } });
    }
}

void router_reducer::on(upstreams_read&& read)
{
    if (read.read != m_upstreamRead)
        return;
    m_upstreamRead = 0;
    m_timers.cancel({ timer_kind::read_timeout, read.read });
    if (!followEra(read.era))
        return;
    const read_in_progress ended { m_upstreamWatcher.readStartedAt(), m_upstreamWatcher.healthy(), storeIsAnswering() };
    const bool wasCheck = m_upstreamWatcher.isChecking();
    auto update = m_upstreamWatcher.onOutcome(std::move(read.outcome), m_now);
    updateStoreHealth(update.failure, ended);
    if (wasCheck && !update.entries.empty())
        reportMissedChanges(update.entries.size());
    applyUpstreams(std::move(update));
}

void router_reducer::on(config_read&& read)
{
    if (read.read == m_confirmation.read && read.read != 0)
        return acceptConfirmation(std::move(read));
    if (read.read != m_configRead)
        return;
    m_configRead = 0;
    m_timers.cancel({ timer_kind::read_timeout, read.read });
    if (!followEra(read.era))
        return;
    const read_in_progress ended { m_configWatcher.readStartedAt(), m_configWatcher.healthy(), storeIsAnswering() };
    auto update = m_configWatcher.onOutcome(std::move(read.outcome), m_now);
    updateStoreHealth(update.failure, ended);
    applyConfig(std::move(update));
}

void router_reducer::applyUpstreams(store_update<upstream_record>&& update)
{
    bool versionsMayDiffer = update.listedNames.has_value();
    for (auto& entry : update.entries) {
        const auto position = positionOf(entry.revision);
        m_newestRecordPosition = std::max(m_newestRecordPosition, position);
        const auto visitor = overloaded {
            [&](const upstream_record& record) {
                const auto known = m_upstreams.find(record.id);
                const auto change = m_upstreams.put(record, position, m_now);
                if (change == table_change::restarted) {
                    distrustVersion(known);
                    recordDisappearance(*known);
                }
                versionsMayDiffer |= change == table_change::added || change == table_change::restarted;
                if (change == table_change::none)
                    return;
                static constexpr const char* changeNames[] = { "none", "added", "restarted", "leaving", "updated" };
                log(log_level::info, "upstream_changed", { { "upstream", record.id }, { "change", changeNames[static_cast<int>(change)] }, { "service", record.service }, { "address", formatEndpoint(record.address) }, { "version", record.version }, { "leaving", record.leaving ? "true" : "false" }, { "record", toString(position) } });
            },
            [&](const invalid_object& invalid) {
                log(log_level::warning, "upstream_record_unusable", { { "upstream", entry.name }, { "reason", invalid.reason }, { "record", toString(position) } });
                removeUpstream(entry.name, "unusable");
                versionsMayDiffer = true;
            },
            [&](const removed_object&) {
                onRecordRemoved(entry.name);
                versionsMayDiffer = true;
            },
        };
        std::visit(visitor, entry.content);
    }
    if (update.listedNames)
        removeUnlisted(*update.listedNames);
    if (versionsMayDiffer) {
        recordVersions();
        limitPromptCaches();
    }
}

// A complete list of the records has arrived.
void router_reducer::removeUnlisted(const std::unordered_set<std::string>& listedNames)
{
    m_upstreamsListed = true;
    for (const auto& upstream : m_upstreams.all()) {
        if (!listedNames.contains(upstream->record.id))
            onRecordRemoved(upstream->record.id);
    }
}

// Removes an upstream whose record has disappeared from the store. Upstreams can't renew their records while the store is
// down, so records that have expired in an outage have recordReturnTimeout to return before their upstream is removed.
void router_reducer::onRecordRemoved(const std::string& id)
{
    const auto upstream = m_upstreams.find(id);
    if (!upstream)
        return;
    const auto returnDeadline = m_storeHealthySince + m_options.settings.recordReturnTimeout;
    if (m_now >= returnDeadline || upstream->record.leaving)
        return removeUpstream(id, "gone");
    upstream->expiresAt = returnDeadline;
    setTimer(timer_kind::record_expiry, 0, returnDeadline);
    log(log_level::info, "upstream_lapsed", { { "upstream", id }, { "kept_ms", formatMilliseconds(returnDeadline - m_now) } });
}

void router_reducer::removeExpiredUpstreams()
{
    for (const auto& upstream : m_upstreams.all()) {
        if (upstream->expiresAt && *upstream->expiresAt <= m_now)
            removeUpstream(upstream->record.id, "lapsed");
    }
    recordVersions();
}

void router_reducer::removeUpstream(const std::string& id, const char* cause)
{
    const auto removed = m_upstreams.remove(id, m_now);
    if (!removed)
        return;
    log(log_level::info, "upstream_removed", { { "upstream", id }, { "cause", cause }, { "in_flight", std::to_string(removed->inFlight) }, { "record", toString(removed->position) } });
    emit(close_upstream_connections { removed->record.address });
    recordDisappearance(*removed);
}

void router_reducer::applyConfig(store_update<shared_config>&& update)
{
    for (auto& entry : update.entries) {
        const auto position = positionOf(entry.revision);
        if (const auto* invalid = std::get_if<invalid_object>(&entry.content)) {
            log(log_level::error, "config_unusable", { { "object", entry.name }, { "reason", invalid->reason }, { "revision", toString(position) } });
            continue;
        }
        auto* config = std::get_if<shared_config>(&entry.content);
        if (!config || position <= m_configPosition)
            continue;
        m_configPosition = position;
        m_storedConfigVersion = (*config)->version;
        // The copy from which a store was restored may be older than the configuration in force.
        if (m_config && position.era != m_configEra && m_storedConfigVersion < m_config->version) {
            log(log_level::warning, "config_outdated", { { "config", std::to_string(m_storedConfigVersion) }, { "revision", toString(position) }, { "in_force", std::to_string(m_config->version) } });
            continue;
        }
        m_configEra = position.era;
        if (m_config)
            recordRouteChanges(*m_config, **config);
        m_config = std::move(*config);
        if (m_config->requiresKeys && m_config->keys.empty())
            log(log_level::warning, "config_without_keys", { { "config", std::to_string(m_config->version) } });
        updateStreamLifetime();
        m_urgencies = urgency_order(*m_config);
        m_gapProtection.setConfig(*m_config);
        m_completionTimes.retainRoutes(*m_config);
        log(log_level::info, "config_adopted", { { "config", std::to_string(m_config->version) }, { "revision", toString(position) }, { "routes", std::to_string(m_config->routeCount()) }, { "keys", std::to_string(m_config->keys.size()) } });
        emit(apply_caller_limits { m_config->limits });
    }
}

} // namespace kumquat::router
