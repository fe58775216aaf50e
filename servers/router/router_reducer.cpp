#include "servers/router/router_reducer.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // Requests with a key are refused once the last confirmation of the configuration is older than this share of the
    // revocation deadline, the time after which a revoked key must be refused.
    constexpr double keyFreshnessShare = 0.9;
    // The share of the configured retry limit that all routers together use.
    constexpr double retryLimitShare = 0.9;
    // The number of routers that is assumed while no digest has arrived.
    constexpr std::size_t assumedRouterCount = 8;
    // The platform takes this long to stop directing new callers to a router that reports that it is not ready.
    constexpr auto deregistrationDelay = std::chrono::milliseconds(3500);
    // Once it has been terminating for this long, a router accepts only requests whose deadline is before its own end.
    constexpr auto maxAcceptanceTime = std::chrono::milliseconds(2500);
    // Upper bounds on the two times above as shares of the shutdown grace, for platforms that allow little time to stop.
    constexpr double acceptanceShare = 0.3;
    constexpr double deregistrationShare = 0.5;
    // The caller's next connection reaches another router, so it may retry almost at once.
    constexpr auto retryAtOtherRouter = std::chrono::milliseconds(20);
    // A router stops this long before the platform would kill it.
    constexpr auto shutdownMargin = std::chrono::milliseconds(300);
    // A request that has crashed this many upstreams is refused.
    constexpr int maxCrashes = 3;
    constexpr auto retryAfterStartup = std::chrono::milliseconds(500);
    // If the store is healthy, a router has read the configuration and the upstream records within this time of its start.
    // Requests that arrive earlier wait, since callers that lost their connection to the predecessor reconnect at once.
    constexpr auto firstReadTimeout = std::chrono::milliseconds(150);

    // The maximum, or the given share of the shutdown grace if that is shorter.
    duration limitByGrace(duration maximum, duration grace, double share)
    {
        return std::min(maximum, std::chrono::duration_cast<duration>(grace * share));
    }

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

router_reducer::router_reducer(router_options options)
    : m_options(std::move(options))
    , m_retryLimiter({})
    , m_upstreamWatcher(m_options.incarnation)
    , m_configWatcher(m_options.incarnation)
{
    m_retryLimiter.setOptions(retryOptions());
    setPeerGroup();
}

void router_reducer::step(router_event&& event, instant now, router_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    if (!m_startedAt)
        m_startedAt = now;
    std::visit([this](auto& item) { on(std::move(item)); }, event);
    readUpstreams();
    readConfig();
    if (!m_pendingRequests.empty() && !awaitsFirstRead())
        admitPending();
    // The first exchange; the digest timer triggers all later ones.
    if (m_digestSentAt == instant {}) {
        exchangeDigests();
        // A router that has just started does not know yet which routers of its data centre live.
        m_peers.suspendCarrier(m_now);
        sendSummary();
    }
    m_effects = nullptr;
}

void router_reducer::setPeerGroup()
{
    const auto& settings = m_options.settings;
    m_peers.setSelf(settings.instance, { settings.address, settings.dataCentre }, settings.seeds);
}

std::optional<instant> router_reducer::nextDeadline() const
{
    return m_timers.nextDeadline();
}

bool router_reducer::ready(instant now) const
{
    return !m_terminating && canServe() && keysAreFresh(now);
}

// Upstreams are used before the list of them is complete: a large list takes long when all routers start at once.
bool router_reducer::canServe() const
{
    return m_config && (m_upstreamsListed || m_upstreams.size() > 0);
}

bool router_reducer::keysAreFresh(instant now) const
{
    const auto confirmed = configConfirmedAt();
    const auto maxAge = std::chrono::duration_cast<duration>(m_options.settings.revocationDeadline * keyFreshnessShare);
    return confirmed && now - *confirmed < maxAge && configIsNewest();
}

retry_limiter_options router_reducer::retryOptions() const
{
    const auto& settings = m_options.settings;
    // Counts the known peers, this router, and one that may have started just now.
    const auto routers = static_cast<double>(m_peers.count() == 0 ? assumedRouterCount : m_peers.count() + 2);
    return { settings.retryRatio * retryLimitShare, settings.retryAllowance * retryLimitShare / routers, settings.retryWindow };
}

void router_reducer::log(log_level level, const char* name, std::vector<std::pair<std::string, std::string>> fields)
{
    emit(log_event { level, name, std::move(fields) });
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
    if (!m_crashes.empty() && m_crashes.crashCount(fingerprint(progress), m_now) >= maxCrashes)
        return refuse(progress.caller, progress.request->requestId, { error_code::no_upstream, "the request has crashed " + std::to_string(maxCrashes) + " upstreams", ran_state::no, retryAfterStartup });
    if (deadlineExceedsShutdown(progress))
        return refuse(progress.caller, progress.request->requestId, { error_code::draining, "this router stops before the deadline of the request", ran_state::no, retryAtOtherRouter });
    const auto caller = progress.caller;
    auto& activeRequest = m_requests.insert_or_assign(caller, std::move(progress)).first->second;
    setTimer(timer_kind::deadline, caller, activeRequest.deadline);
    m_retryLimiter.recordRequest(activeRequest.service, m_now);
    if (!dispatch(activeRequest, "first"))
        answerWithFailure(activeRequest);
}

bool router_reducer::awaitsFirstRead() const
{
    return !canServe() && !m_terminating && m_now < *m_startedAt + firstReadTimeout;
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

bool router_reducer::deadlineExceedsShutdown(const request_progress& progress) const
{
    const auto grace = m_options.settings.shutdownGrace;
    return m_terminating && m_now - m_terminatingSince > limitByGrace(maxAcceptanceTime, grace, acceptanceShare) && progress.deadline > m_terminatingSince + grace - shutdownMargin;
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
    progress.service = chooseService(*matchedRoute, request.requestId);
    const auto service = m_config->services.find(progress.service);
    progress.targetsEngine = service != m_config->services.end() && service->second.engine.has_value();
    progress.deadline = progress.arrivedAt + std::min(matchedRoute->timeout, request.callerTimeout.value_or(matchedRoute->timeout));
    return std::nullopt;
}

void router_reducer::refuse(caller_id caller, const std::string& requestId, const caller_error& refusal)
{
    const auto status = httpStatus(refusal.code);
    const auto confirmed = configConfirmedAt();
    log(log_level::warning, "request_refused",
        { { "request", requestId }, { "code", toString(refusal.code) }, { "status", std::to_string(status) }, { "ran", toString(refusal.ran) },
            { "reason", refusal.message }, { "config", std::to_string(m_config ? m_config->version : 0) },
            { "config_age_ms", confirmed ? formatMilliseconds(m_now - *confirmed) : "never" } });
    emit(count_metric { "kumquat_router_refusals_total", { { "code", toString(refusal.code) } } });
    emit(refuse_reply { caller, requestId, refusal });
}

void router_reducer::on(caller_left&& left)
{
    std::erase_if(m_pendingRequests, [&left](const request_progress& pending) { return pending.caller == left.caller; });
    const auto found = m_requests.find(left.caller);
    if (found == m_requests.end())
        return;
    cancelAttempts(found->second);
    finish(found->second, 0, "caller_left");
}

void router_reducer::on(caller_ready&& ready)
{
    const auto found = m_requests.find(ready.caller);
    if (found == m_requests.end())
        return;
    for (const auto& attempt : found->second.attempts)
        emit(throttle_attempt { attempt.number, false });
}

void router_reducer::on(settings_changed&& changed)
{
    m_options.settings = std::move(changed.settings);
    m_retryLimiter.setOptions(retryOptions());
    setPeerGroup();
    log(log_level::info, "settings_changed", { { "instance", m_options.settings.instance }, { "store", formatEndpoint(m_options.settings.store) } });
}

void router_reducer::on(termination_requested&&)
{
    if (m_terminating)
        return;
    m_terminating = true;
    m_terminatingSince = m_now;
    log(log_level::info, "router_terminating", { { "requests", std::to_string(m_requests.size()) }, { "grace_ms", formatMilliseconds(m_options.settings.shutdownGrace) } });
    emit(close_callers_after_answers {});
    exchangeDigests();
    setTimer(timer_kind::close_idle, 0, m_now + limitByGrace(deregistrationDelay, m_options.settings.shutdownGrace, deregistrationShare));
    setTimer(timer_kind::stop, 0, m_now + m_options.settings.shutdownGrace - shutdownMargin);
}

void router_reducer::on(router_timer_due&&)
{
    while (const auto due = m_timers.popDue(m_now))
        onTimer(*due);
}

void router_reducer::onTimer(const timer_key& due)
{
    const auto [kind, id] = due;
    const auto found = m_requests.find(id);
    switch (kind) {
    case timer_kind::deadline:
        if (found != m_requests.end())
            timeOut(found->second);
        return;
    case timer_kind::hedge:
        if (found != m_requests.end())
            hedge(found->second);
        return;
    case timer_kind::read_timeout:
        emit(cancel_store_read { id });
        if (id == m_upstreamRead)
            on(upstreams_read { id, store_read_failed { "timeout" } });
        if (id == m_configRead || id == m_confirmation.read)
            on(config_read { id, store_read_failed { "timeout" } });
        return;
    case timer_kind::upstream_reads:
    case timer_kind::config_reads:
    case timer_kind::first_read:
        // step() starts reads that are due and admits pending requests after each event, so these timers only trigger it.
        return;
    case timer_kind::record_expiry:
        return removeExpiredUpstreams();
    case timer_kind::digest:
        return exchangeDigests();
    case timer_kind::summary:
        return sendSummary();
    case timer_kind::close_idle:
        emit(close_idle_callers {});
        if (m_requests.empty())
            emit(stop_router {});
        else
            setTimer(timer_kind::close_idle, 0, m_now + std::chrono::milliseconds(100));
        return;
    case timer_kind::stop:
        log(log_level::warning, "router_stopped_with_requests", { { "requests", std::to_string(m_requests.size()) } });
        emit(stop_router {});
        return;
    }
}

} // namespace kumquat::router
