#include "servers/router/router_reducer.h"

#include "core/hash.h"
#include "servers/router/rotation.h"
#include "servers/router/store_timeouts.h"

#include <algorithm>
#include <map>

// Which software version began each stream, how long that is known for certain, and where it is kept for other routers.

namespace kumquat::router {

namespace {

    // How long an origin is kept beyond the caller's deadline.
    constexpr auto originMargin = std::chrono::seconds(1);
    // A stream may go on in answer to a second request when the first one has reached the route's timeout.
    constexpr int requestsPerStream = 2;
    constexpr std::size_t maxSoleVersionsPerDigest = 4;
    // Longer than any stream lives.
    constexpr auto maxAdoptedTime = std::chrono::minutes(10);

} // namespace

std::uint64_t router_reducer::streamKey(const request_progress& progress)
{
    const auto& request = *progress.request;
    const bool namesFirst = progress.resumesEarlier() && !request.resumedRequestId.empty();
    const auto& matched = *progress.matchedRoute;
    return hashBytes(namesFirst ? request.resumedRequestId : request.requestId, hashBytes(progress.organisation, hashBytes(matched.host + matched.pathPrefix)));
}

std::optional<std::uint64_t> router_reducer::onlyVersionOf(const std::string& service) const
{
    if (!m_upstreamsListed || !keysAreFresh(m_now))
        return std::nullopt;
    return m_versionHistory.onlyVersion(service, m_streamLifetime, m_now);
}

void router_reducer::recordVersions()
{
    std::map<std::string, std::set<std::uint64_t>> versions;
    for (const auto& upstream : m_upstreams.all())
        versions[upstream->record.service].insert(upstream->versionKey);
    bool haveChanged = false;
    for (const auto& [service, keys] : versions)
        haveChanged |= m_versionHistory.record(service, keys, m_now);
    if (haveChanged)
        saveMissingOrigins();
}

void router_reducer::restartVersionHistory()
{
    m_versionHistory.restart(m_now);
    saveMissingOrigins();
}

// Contains what this router has followed or adopted. Once it can't be sure of the records, it tells nothing.
std::vector<sole_version> router_reducer::soleVersionReports(std::uint32_t rotation) const
{
    if (!m_upstreamsListed || !keysAreFresh(m_now))
        return {};
    std::vector<sole_version> reports;
    for (const auto& [version, since] : m_versionHistory.soleVersions())
        reports.push_back({ version, std::chrono::floor<std::chrono::milliseconds>(m_now - since) });
    return takeRotated(std::move(reports), maxSoleVersionsPerDigest, rotation);
}

// A router that has just started learns from the others what it has not seen itself. The time grows while a digest is in transit,
// so that what is adopted is never longer than what was told.
void router_reducer::learnSoleVersions(const router_digest& digest)
{
    if (!m_upstreamsListed || !keysAreFresh(m_now))
        return;
    for (const auto& [version, time] : digest.soleVersions)
        m_versionHistory.adopt(version, m_now - std::clamp<duration>(time, duration {}, maxAdoptedTime));
}

void router_reducer::recordRouteChanges(const routing_config& before, const routing_config& after)
{
    std::erase_if(m_routesMovedAt, [this](const auto& item) { return m_now - item.second >= m_streamLifetime; });
    for (const auto& [key, changed] : after.routes()) {
        const auto known = before.routes().find(key);
        if (known != before.routes().end() && known->second.services != changed.services)
            m_routesMovedAt[changed.host + changed.pathPrefix] = m_now;
    }
}

bool router_reducer::hasMoved(const route& matched) const
{
    const auto moved = m_routesMovedAt.find(matched.host + matched.pathPrefix);
    return moved != m_routesMovedAt.end() && m_now - moved->second < m_streamLifetime;
}

void router_reducer::updateStreamLifetime()
{
    duration longest {};
    for (const auto& [key, item] : m_config->routes()) {
        if (item.streaming && item.resumable)
            longest = std::max(longest, item.timeout);
    }
    m_streamLifetime = longest * requestsPerStream;
}

std::uint64_t router_reducer::versionOf(const active_attempt& attempt) const
{
    if (attempt.identifiesUpstream)
        return attempt.upstream->versionKey;
    const auto current = m_upstreams.find(attempt.upstream->record.id);
    const bool isReplaced = current && current->versionKey != attempt.upstream->versionKey;
    const bool mayBeAnother = attempt.isUnidentified && !onlyVersionOf(attempt.upstream->record.service);
    return isReplaced || mayBeAnother ? uncertainOrigin : attempt.upstream->versionKey;
}

void router_reducer::on(upstream_unidentified&& unidentified)
{
    auto* progress = findByAttempt(unidentified.attemptNumber);
    if (!progress)
        return;
    auto& attempt = *findAttempt(*progress, unidentified.attemptNumber);
    attempt.identifiesUpstream = false;
    attempt.isUnidentified = true;
    log(log_level::info, "upstream_unidentified", { { "request", progress->request->requestId }, { "upstream", attempt.upstream->record.id } });
}

void router_reducer::beginStream(request_progress& progress, const active_attempt& attempt)
{
    if (!progress.requiredVersion)
        progress.requiredVersion = versionOf(attempt);
    if (!onlyVersionOf(progress.service))
        saveOrigin(progress);
}

// A record may be older than its upstream, which may have started again under the same id with another version, and no record shows that
// in time. A stream therefore goes on only on a connection on which the upstream has stated the start of its record, and begins on one where
// it has stated no other. Plain services do not state theirs.
std::optional<std::int64_t> router_reducer::requiredStart(const request_progress& progress, const upstream_state& upstream)
{
    const bool isStated = progress.targetsEngine && upstream.record.startedUnixMs != 0;
    if (!progress.matchedRoute->resumable || !isStated)
        return std::nullopt;
    return upstream.record.startedUnixMs;
}

// The record of another process has arrived while attempts were running, so it may be that process which has written their events.
void router_reducer::distrustVersion(const shared_upstream& replaced)
{
    for (auto& [caller, progress] : m_requests) {
        for (const auto& attempt : progress.attempts) {
            if (attempt.upstream != replaced || !progress.replyStarted || versionOf(attempt) != uncertainOrigin)
                continue;
            log(log_level::warning, "stream_version_uncertain", { { "request", progress.request->requestId }, { "upstream", replaced->record.id }, { "version", replaced->record.version } });
            progress.requiredVersion = uncertainOrigin;
            saveOrigin(progress);
        }
    }
}

void router_reducer::saveOrigin(request_progress& progress)
{
    const bool isUnnamed = progress.resumesEarlier() && progress.request->resumedRequestId.empty();
    if (!progress.matchedRoute->resumable || isUnnamed)
        return;
    progress.originSaved = true;
    const auto callerTime = progress.request->callerTimeout.value_or(progress.matchedRoute->timeout * requestsPerStream);
    const auto timeLeft = progress.arrivedAt + callerTime + originMargin - m_now;
    const stream_origin origin { streamKey(progress), *progress.requiredVersion, std::chrono::ceil<std::chrono::milliseconds>(timeLeft) };
    keepOrigin(origin);
    for (const auto& target : originTargets(origin.stream, replicaDataCentres))
        emit(send_stream_message { { target.address }, save_origin { origin, target.isContact } });
    emit(count_metric { "kumquat_router_saved_origins_total", {} });
}

void router_reducer::saveMissingOrigins()
{
    for (auto& [caller, progress] : m_requests) {
        if (progress.replyStarted && progress.requiredVersion && !progress.originSaved && !onlyVersionOf(progress.service))
            saveOrigin(progress);
    }
}

void router_reducer::keepOrigin(const stream_origin& origin)
{
    if (!m_origins.keep(origin, m_now))
        emit(count_metric { "kumquat_router_dropped_origins_total", {} });
}

std::vector<router_reducer::origin_target> router_reducer::originTargets(std::uint64_t stream, std::size_t dataCentres) const
{
    std::vector<std::string> names { m_options.settings.dataCentre };
    for (const auto& [name, routers] : m_peers.otherDataCentres())
        names.push_back(name);
    std::vector<origin_target> targets;
    for (const auto& name : chooseReplicas(stream, std::move(names), dataCentres)) {
        if (name == m_options.settings.dataCentre) {
            for (const auto& address : replicaNeighbours(stream))
                targets.push_back({ address, false });
            continue;
        }
        const auto contacts = m_peers.contactsWithin(name);
        if (!contacts.empty())
            targets.push_back({ contacts[stream % contacts.size()].address, true });
    }
    return targets;
}

std::vector<std::string> router_reducer::replicasOfDataCentre(std::uint64_t stream) const
{
    auto names = m_peers.neighbourNames();
    names.push_back(m_options.settings.instance);
    return chooseReplicas(stream, std::move(names), replicasPerDataCentre);
}

std::vector<std::string> router_reducer::replicaNeighbours(std::uint64_t stream) const
{
    std::vector<std::string> addresses;
    for (const auto& name : replicasOfDataCentre(stream)) {
        if (name != m_options.settings.instance)
            addresses.push_back(m_peers.addressOf(name));
    }
    return addresses;
}

bool router_reducer::isReplica(std::uint64_t stream) const
{
    const auto replicas = replicasOfDataCentre(stream);
    return std::find(replicas.begin(), replicas.end(), m_options.settings.instance) != replicas.end();
}

void router_reducer::on(stream_message_received&& received)
{
    std::visit([&](auto& message) { receive(received.address, std::move(message)); }, received.message);
}

void router_reducer::receive(const std::string&, save_origin&& save)
{
    if (!save.isForwarded)
        return keepOrigin(save.origin);
    if (isReplica(save.origin.stream))
        keepOrigin(save.origin);
    auto addresses = replicaNeighbours(save.origin.stream);
    if (!addresses.empty())
        emit(send_stream_message { std::move(addresses), save_origin { save.origin, false } });
}

void router_reducer::receive(const std::string& address, origin_query&& query)
{
    if (query.replyTo.empty())
        query.replyTo = address;
    const bool isForwarded = std::exchange(query.isForwarded, false);
    if (!isForwarded || isReplica(query.stream))
        emit(send_stream_message { { query.replyTo }, origin_answer { query.query, m_origins.find(query.stream, m_now), onlyVersionOf(query.service) } });
    auto addresses = replicaNeighbours(query.stream);
    if (isForwarded && !addresses.empty())
        emit(send_stream_message { std::move(addresses), std::move(query) });
}

} // namespace kumquat::router
