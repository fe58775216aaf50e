#include "servers/router/router_reducer.h"

#include "core/hash.h"

#include <algorithm>

// Which requests a router accepts, and how it finds the route, organisation and service of each.

namespace kumquat::router {

namespace {

    constexpr auto retryAfterStartup = std::chrono::milliseconds(500);
    // If the store is healthy, a router has read the configuration and the upstream records within this time of its start.
    // Requests that arrive earlier wait, since callers that lost their connection to the predecessor reconnect at once.
    constexpr auto firstReadTimeout = std::chrono::milliseconds(150);

    // Selects a service by weight. The choice depends only on the request id, so that each router makes the same one.
    const std::string& chooseService(const route& matchedRoute, const std::string& requestId)
    {
        std::uint64_t totalWeight = 0;
        for (const auto& candidate : matchedRoute.services)
            totalWeight += static_cast<std::uint64_t>(std::max(candidate.weight, 0));
        if (totalWeight == 0)
            return matchedRoute.services.front().service;
        auto point = hashBytes(requestId) % totalWeight;
        for (const auto& candidate : matchedRoute.services) {
            const auto weight = static_cast<std::uint64_t>(std::max(candidate.weight, 0));
            if (point < weight)
                return candidate.service;
            point -= weight;
        }
        return matchedRoute.services.back().service;
    }

} // namespace

// Upstreams are used before the list of them is complete: a large list takes long when all routers start at once.
bool router_reducer::canServe() const
{
    return m_config && (m_upstreamsListed || m_upstreams.size() > 0);
}

void router_reducer::on(request_arrived&& arrived)
{
    request_progress progress;
    progress.caller = arrived.caller;
    progress.request = std::move(arrived.request);
    progress.arrivedAt = m_now;
    if (awaitsFirstRead())
        return queueUntilFirstRead(std::move(progress));
    admit(std::move(progress));
}

void router_reducer::admit(request_progress&& progress)
{
    if (const auto refusal = classify(progress))
        return refuse(progress.caller, progress.request->requestId, *refusal);
    if (const auto refusal = refuseSuspect(progress))
        return refuse(progress.caller, progress.request->requestId, *refusal);
    if (const auto refusal = refuseBeforeShutdown(progress))
        return refuse(progress.caller, progress.request->requestId, *refusal);
    const auto caller = progress.caller;
    auto& activeRequest = m_requests.insert_or_assign(caller, std::move(progress)).first->second;
    setTimer(timer_kind::deadline, caller, activeRequest.deadline);
    if (activeRequest.targetsEngine) {
        activeRequest.isGapSensitive = m_gapProtection.isSensitive(activeRequest.service, activeRequest.matchedRoute->eventGapTarget);
        m_gapProtection.recordArrival(activeRequest.service, activeRequest.isGapSensitive);
    }
    m_retryLimiter.recordRequest(activeRequest.service, m_now);
    m_limitedAdmissions[activeRequest.service].recordArrival(activeRequest.urgency, m_now);
    if (activeRequest.resumesEarlier())
        return resumeEarlier(activeRequest);
    if (!dispatch(activeRequest, "first"))
        answerWithFailure(activeRequest);
}

bool router_reducer::awaitsFirstRead() const
{
    return !canServe() && !m_shutdown && m_now < *m_startedAt + firstReadTimeout;
}

void router_reducer::queueUntilFirstRead(request_progress&& progress)
{
    log(log_level::info, "request_held", { { "request", progress.request->requestId }, { "config", m_config ? std::to_string(m_config->version) : "none" }, { "records", m_upstreamsListed ? "read" : "none" } });
    setTimer(timer_kind::first_read, 0, *m_startedAt + firstReadTimeout);
    m_pendingRequests.push_back(std::move(progress));
}

void router_reducer::admitPending()
{
    for (auto& progress : std::exchange(m_pendingRequests, {}))
        admit(std::move(progress));
}

std::optional<caller_error> router_reducer::classify(request_progress& progress) const
{
    const auto& request = *progress.request;
    if (!canServe())
        return caller_error { error_code::not_configured, "the configuration has not been read yet", ran_state::no, retryAfterStartup };
    const auto* matchedRoute = m_config->match(request.host, request.path);
    if (!matchedRoute)
        return caller_error { error_code::unknown_service, "no route for '" + request.host + request.path + "'", ran_state::no, std::nullopt };
    progress.config = m_config;
    progress.matchedRoute = matchedRoute;
    std::optional<int> organisationRank;
    if (m_config->requiresKeys && !matchedRoute->anonymous) {
        const auto key = m_config->keys.find(request.apiKey);
        // A router that can't reach the store does not know which keys have been revoked.
        if (!keysAreFresh(m_now))
            return caller_error { error_code::not_configured, "keys can't be checked while the store is out of reach", ran_state::no, retryAfterStartup };
        if (key == m_config->keys.end())
            return caller_error { error_code::unauthenticated, "the API key is not in the configuration", ran_state::no, std::nullopt };
        progress.organisation = key->second.name;
        organisationRank = key->second.rank;
    }
    progress.urgency = m_urgencies.urgencyOf(*matchedRoute, organisationRank);
    // A stream goes on at the service that began it.
    const bool namesFirst = progress.resumesEarlier() && !request.resumedRequestId.empty();
    progress.service = chooseService(*matchedRoute, namesFirst ? request.resumedRequestId : request.requestId);
    const auto service = m_config->services.find(progress.service);
    progress.targetsEngine = service != m_config->services.end() && service->second.engine.has_value();
    progress.deadline = progress.arrivedAt + std::min(matchedRoute->timeout, request.callerTimeout.value_or(matchedRoute->timeout));
    return std::nullopt;
}

} // namespace kumquat::router
