#include "servers/router/router_reducer.h"

#include "core/hash.h"
#include "core/memory_shares.h"

#include <algorithm>

// How a router notices that an upstream has crashed, or lives and has dropped an idle connection.

namespace kumquat::router {

namespace {

    // If an upstream refuses connections within this time after the connection of a request broke, the request may have crashed it.
    constexpr auto crashAttributionWindow = std::chrono::milliseconds(1500);
    // The record of an upstream that has crashed disappears within this time: it lapses, or its successor replaces it.
    constexpr auto disappearanceWindow = std::chrono::milliseconds(6000);
    // An upstream whose answers break off often without a crash is checked no more often than this.
    constexpr auto connectionCheckInterval = std::chrono::milliseconds(300);
    constexpr auto connectionCheckTimeout = std::chrono::milliseconds(500);
    // The neighbours distrust their connections for longer, and are told again only after this time.
    constexpr auto dropReportInterval = std::chrono::seconds(5);
    // Requests are not sent to an upstream that has just crashed, unless there is no other.
    constexpr auto crashBackoff = std::chrono::milliseconds(1000);
    // Prompts of some tens of parts leave about so many suspects at an upstream that breaks off all it runs.
    constexpr std::size_t minBrokenSuspects = 1024;

    // Drops attempts until the others have no more suspects, those with most first. An ordinary prompt has few parts, and what crashes
    // upstreams is found from several attempts.
    void limitSuspects(std::vector<broken_attempt>& attempts, std::size_t maxSuspects)
    {
        std::size_t suspects = 0;
        for (const auto& item : attempts)
            suspects += item.suspects.size();
        while (suspects > maxSuspects && attempts.size() > 1) {
            const auto largest = std::max_element(attempts.begin(), attempts.end(), [](const broken_attempt& left, const broken_attempt& right) { return left.suspects.size() < right.suspects.size(); });
            suspects -= largest->suspects.size();
            attempts.erase(largest);
        }
    }

} // namespace

void router_reducer::addBrokenAttempt(upstream_state& upstream, broken_attempt&& broken)
{
    std::erase_if(upstream.brokenAttempts, [this](const broken_attempt& item) { return m_now - item.brokenAt > disappearanceWindow; });
    upstream.brokenAttempts.push_back(std::move(broken));
    limitSuspects(upstream.brokenAttempts, shareOfUpstream(divideMemory(memoryOf(m_options.settings)).brokenSuspects, m_upstreams.size(), minBrokenSuspects));
    if (upstream.crashedAt && m_now - *upstream.crashedAt <= crashAttributionWindow)
        recordCrash(upstream, crashAttributionWindow);
}

void router_reducer::recordBrokenAttempt(const request_progress& progress, const active_attempt& attempt)
{
    const auto upstream = attempt.upstream;
    addBrokenAttempt(*upstream, describeBroken(progress, attempt));
    checkConnection(upstream);
}

// A connection that ends is no proof of a crash. An upstream that also refuses new ones has no process any more.
void router_reducer::checkConnection(const shared_upstream& upstream)
{
    const bool isUnexplained = std::any_of(upstream->brokenAttempts.begin(), upstream->brokenAttempts.end(), [&](const broken_attempt& broken) {
        return m_now - broken.brokenAt <= crashAttributionWindow && (!upstream->acceptedAt || broken.brokenAt > *upstream->acceptedAt);
    });
    if (!isUnexplained)
        return;
    if (upstream->checkedAt && m_now - *upstream->checkedAt < connectionCheckInterval)
        return setTimer(timer_kind::connection_check, upstream->key, *upstream->checkedAt + connectionCheckInterval);
    upstream->checkedAt = m_now;
    const auto check = ++m_lastId;
    m_connectionChecks.emplace(check, upstream);
    emit(check_connection { check, upstream->record.address, connectionCheckTimeout });
}

void router_reducer::checkConnectionAgain(std::uint32_t upstreamKey)
{
    if (const auto upstream = m_upstreams.findByKey(upstreamKey))
        checkConnection(upstream);
}

void router_reducer::on(connection_checked&& checked)
{
    const auto found = m_connectionChecks.find(checked.check);
    if (found == m_connectionChecks.end())
        return;
    const auto upstream = found->second;
    m_connectionChecks.erase(found);
    const bool hasDropped = std::exchange(upstream->hasDroppedConnection, false);
    if (hasDropped && checked.outcome == connection_outcome::accepted)
        announceDroppedConnection();
    if (checked.outcome == connection_outcome::refused)
        return recordRefusedConnection(*upstream);
    static constexpr const char* outcomeNames[] = { "accepted", "refused", "unknown" };
    log(log_level::info, "upstream_checked", { { "upstream", upstream->record.id }, { "outcome", outcomeNames[static_cast<int>(checked.outcome)] }, { "broken_requests", std::to_string(upstream->brokenAttempts.size()) } });
    if (checked.outcome == connection_outcome::accepted)
        upstream->acceptedAt = upstream->checkedAt;
    checkConnection(upstream);
}

void router_reducer::recordDroppedConnection(upstream_state& upstream)
{
    upstream.hasDroppedConnection = true;
    emit(count_metric { "kumquat_router_dropped_connections_total", {} });
}

// The connections of other routers may be dropped by the same cause. Each of them would lose a request to learn that.
void router_reducer::announceDroppedConnection()
{
    auto addresses = m_peers.neighbourAddresses();
    if (addresses.empty() || (m_dropReportedAt && m_now - *m_dropReportedAt < dropReportInterval))
        return;
    m_dropReportedAt = m_now;
    emit(send_stream_message { std::move(addresses), dropped_connection {} });
}

void router_reducer::receive(const std::string& address, dropped_connection&&)
{
    if (!m_peers.hasNeighbourAt(address))
        return;
    log(log_level::info, "connections_distrusted", { { "from", address } });
    emit(distrust_connections {});
}

void router_reducer::recordRefusedConnection(upstream_state& upstream)
{
    recordCrash(upstream, crashAttributionWindow);
}

void router_reducer::recordDisappearance(upstream_state& upstream)
{
    const bool isPlanned = upstream.record.leaving || upstream.announcedLeaving;
    if (!isPlanned)
        recordCrash(upstream, disappearanceWindow);
}

void router_reducer::recordCrash(upstream_state& upstream, duration window)
{
    auto brokenAttempts = std::exchange(upstream.brokenAttempts, {});
    std::erase_if(brokenAttempts, [this, window](const broken_attempt& broken) { return m_now - broken.brokenAt > window; });
    if (brokenAttempts.empty())
        return;
    upstream.crashedAt = m_now;
    upstream.backoffUntil = std::max(upstream.backoffUntil, m_now + crashBackoff);
    log(log_level::warning, "upstream_crashed", { { "upstream", upstream.record.id }, { "service", upstream.record.service }, { "broken_requests", std::to_string(brokenAttempts.size()) } });
    emit(count_metric { "kumquat_router_upstream_crashes_total", { { "service", upstream.record.service } } });
    const auto key = static_cast<std::uint32_t>(hashBytes(upstream.record.id, static_cast<std::uint64_t>(upstream.record.startedUnixMs)));
    for (const auto& broken : brokenAttempts) {
        const auto age = std::chrono::floor<std::chrono::milliseconds>(m_now - broken.brokenAt);
        for (std::size_t index = 0; index < broken.suspects.size(); ++index)
            m_crashes.recordCrash({ broken.suspects[index], key, broken.request, std::max(static_cast<int>(index) - 1, 0), age }, news_origin::own, m_now);
    }
    // Another router, which this one can't hear, may know the reason already.
    m_refusalStore.requestList();
    actOnNewRefusals();
}

} // namespace kumquat::router
