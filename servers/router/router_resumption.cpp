#include "servers/router/router_reducer.h"

#include "core/hash.h"

#include <algorithm>

// At which software version a stream goes on that its caller resumes with a further request, often at another router than the one that
// began it, and what the caller is told if it can't go on.

namespace kumquat::router {

namespace {

    // A lookup without an answer for this time is decided without one. Routers answer within a few milliseconds.
    constexpr auto lookupTimeout = std::chrono::milliseconds(60);
    constexpr auto retryAtOtherRouter = std::chrono::milliseconds(200);
    // With so few other routers, none may be left that could answer.
    constexpr std::size_t maxUnconfirmedPeers = 1;

} // namespace

void router_reducer::resumeEarlier(request_progress& progress)
{
    progress.lookup.emplace();
    progress.lookup->startedAt = m_now;
    if (progress.request->resumedRequestId.empty())
        return endLookup(progress, std::nullopt);
    const auto key = streamKey(progress);
    if (const auto origin = m_origins.find(key, m_now))
        return endLookup(progress, origin);
    for (const auto& target : originTargets(key, queriedDataCentres)) {
        const auto query = ++m_lastId;
        progress.lookup->queries.push_back(query);
        m_originQueries.emplace(query, progress.caller);
        emit(send_stream_message { { target.address }, origin_query { query, key, progress.service, {}, target.isContact } });
    }
    if (progress.lookup->queries.empty())
        return endLookup(progress, std::nullopt);
    progress.lookup->unanswered = progress.lookup->queries.size();
    setTimer(timer_kind::origin_lookup, progress.caller, m_now + lookupTimeout);
}

void router_reducer::receive(const std::string&, origin_answer&& answer)
{
    const auto query = m_originQueries.find(answer.query);
    if (query == m_originQueries.end())
        return;
    auto& progress = m_requests.at(query->second);
    auto& lookup = *progress.lookup;
    if (answer.version)
        return endLookup(progress, answer.version);
    if (answer.onlyVersion)
        lookup.onlyVersions.insert(*answer.onlyVersion);
    lookup.unanswered -= lookup.answered.insert(answer.query).second ? 1 : 0;
    // A further router of the same data centre may still know the origin if the stream can't go on without one.
    if (lookup.unanswered == 0 && versionWithoutOrigin(progress))
        endLookup(progress, std::nullopt);
}

void router_reducer::endLookup(request_progress& progress, std::optional<std::uint64_t> origin)
{
    const auto version = origin ? origin : versionWithoutOrigin(progress);
    const auto& lookup = *progress.lookup;
    const char* ownOrOther = lookup.queries.empty() ? "own" : "router";
    const char* source = origin ? ownOrOther : (version ? "only_version" : "none");
    log(log_level::info, "stream_looked_up",
        { { "request", progress.request->requestId }, { "first_request", progress.request->resumedRequestId }, { "source", source }, { "queries", std::to_string(lookup.queries.size()) },
            { "answers", std::to_string(lookup.answered.size()) }, { "ms", formatMilliseconds(m_now - lookup.startedAt) } });
    emit(count_metric { "kumquat_router_resumed_streams_total", { { "source", source } } });
    forgetQueries(progress);
    progress.lookup.reset();
    m_timers.cancel({ timer_kind::origin_lookup, progress.caller });
    progress.requiredVersion = version.value_or(uncertainOrigin);
    goOn(progress);
}

void router_reducer::forgetQueries(const request_progress& progress)
{
    for (const auto query : progress.lookup->queries)
        m_originQueries.erase(query);
}

// Without an origin a stream goes on only if its service has had one version alone for longer than any stream lives. Another router
// has to answer, since a version that has just appeared may not be known here yet.
std::optional<std::uint64_t> router_reducer::versionWithoutOrigin(const request_progress& progress) const
{
    const auto& lookup = *progress.lookup;
    const auto& matched = *progress.matchedRoute;
    const bool mayBeOtherService = matched.services.size() > 1 && progress.request->resumedRequestId.empty();
    if (mayBeOtherService || hasMoved(matched))
        return std::nullopt;
    auto candidates = lookup.onlyVersions;
    const auto own = onlyVersionOf(progress.service);
    if (own)
        candidates.insert(*own);
    const bool isConfirmed = !lookup.answered.empty() || m_peers.count() <= maxUnconfirmedPeers;
    const bool isOnlyOne = candidates.size() == 1 && (own || hasOnly(progress.service, *candidates.begin()));
    return isConfirmed && isOnlyOne ? std::optional(*candidates.begin()) : std::nullopt;
}

bool router_reducer::hasOnly(const std::string& service, std::uint64_t version) const
{
    const auto& upstreams = m_upstreams.ofService(service);
    return !upstreams.empty() && std::all_of(upstreams.begin(), upstreams.end(), [version](const shared_upstream& item) { return item->versionKey == version; });
}

bool router_reducer::hasVersion(const std::string& service, std::uint64_t version) const
{
    const auto& upstreams = m_upstreams.ofService(service);
    return std::any_of(upstreams.begin(), upstreams.end(), [version](const shared_upstream& item) { return item->versionKey == version && item->inService(); });
}

void router_reducer::goOn(request_progress& progress)
{
    for (const auto& candidate : progress.matchedRoute->services) {
        if (hasVersion(candidate.service, *progress.requiredVersion))
            progress.service = candidate.service;
    }
    if (!dispatch(progress, "resume_earlier"))
        awaitResumptionOrFail(progress);
}

void router_reducer::awaitResumptionOrFail(request_progress& progress)
{
    const auto wait = timeUntilResumption(progress);
    // If an upstream accepts requests now, it is not for want of one that the stream can't go on.
    if (!wait || *wait == duration {})
        return answerWithFailure(progress);
    const auto resumeAt = m_now + *wait;
    const auto pauseStartedAt = progress.lastEventAt.value_or(progress.arrivedAt);
    if (resumeAt - pauseStartedAt > progress.matchedRoute->eventGapTarget || resumeAt >= progress.deadline)
        return answerWithFailure(progress);
    log(log_level::info, "resumption_waits", { { "request", progress.request->requestId }, { "service", progress.service }, { "for_ms", formatMilliseconds(resumeAt - m_now) } });
    setTimer(timer_kind::resumption, progress.caller, resumeAt);
}

std::optional<duration> router_reducer::timeUntilResumption(const request_progress& progress) const
{
    if (!progress.requiredVersion)
        return std::nullopt;
    std::optional<duration> shortest;
    for (const auto& upstream : eligibleUpstreams(progress)) {
        const bool isTried = std::find(progress.triedUpstreams.begin(), progress.triedUpstreams.end(), upstream->record.id) != progress.triedUpstreams.end();
        const auto wait = upstream->inService() && !isTried ? upstream->timeUntilAccepting(m_now) : std::nullopt;
        if (wait && (!shortest || *wait < *shortest))
            shortest = wait;
    }
    return shortest;
}

// Why a stream has no upstream of its version, or nothing if it has one or if waiting helps as it does for other requests.
std::optional<caller_error> router_reducer::describeMissingVersion(const request_progress& progress) const
{
    if (!progress.requiredVersion || hasVersion(progress.service, *progress.requiredVersion))
        return std::nullopt;
    if (*progress.requiredVersion == uncertainOrigin)
        return caller_error { error_code::stream_not_resumable, "it is not known which software version began the stream; send the request again without the id of the last event", ran_state::no, std::nullopt };
    const auto& upstreams = m_upstreams.ofService(progress.service);
    const bool servesOthers = std::any_of(upstreams.begin(), upstreams.end(), [](const shared_upstream& item) { return item->inService(); });
    if (!servesOthers)
        return std::nullopt;
    // Another router may know newer records.
    if (!m_upstreamsListed || !keysAreFresh(m_now) || m_watchLag.isBehind())
        return caller_error { error_code::no_upstream, "no upstream of the software version that began the stream is known here yet", ran_state::no, retryAtOtherRouter };
    return caller_error { error_code::stream_not_resumable, "the software version that began the stream has no upstream any more; send the request again without the id of the last event", ran_state::no, std::nullopt };
}

} // namespace kumquat::router
