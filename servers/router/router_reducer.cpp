#include "servers/router/router_reducer.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // The share of the configured retry limit that all routers together use.
    constexpr double retryLimitShare = 0.9;

} // namespace

router_reducer::router_reducer(router_options options)
    : m_options(std::move(options))
    , m_retryLimiter({})
    , m_refusalStore(m_options.incarnation)
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
    if (!m_startedAt) {
        m_startedAt = now;
        m_census.unsettle(now);
    }
    std::visit([this](auto& item) { on(std::move(item)); }, event);
    readUpstreams();
    readConfig();
    callRefusalStore();
    if (!m_pendingRequests.empty() && !awaitsFirstRead())
        admitPending();
    // The first exchange; the digest timer triggers all later ones.
    if (m_digestSentAt == instant {}) {
        exchangeDigests();
        // A router that has just started does not know yet which routers of its data centre live.
        m_peers.suspendAggregator(m_now);
        sendSummary();
    }
    m_effects = nullptr;
}

void router_reducer::setPeerGroup()
{
    const auto& settings = m_options.settings;
    m_peers.setSelf(settings.instance, { settings.address, settings.dataCentre }, settings.seeds);
    const bool expectsOthers = std::any_of(settings.seeds.begin(), settings.seeds.end(), [&settings](const std::string& seed) { return seed != settings.address; });
    m_census.setSelf(settings.instance, settings.dataCentre, expectsOthers);
}

std::optional<instant> router_reducer::nextDeadline() const
{
    return m_timers.nextDeadline();
}

bool router_reducer::ready(instant now) const
{
    return !m_shutdown && canServe() && keysAreFresh(now);
}

retry_limiter_options router_reducer::retryOptions() const
{
    const auto& settings = m_options.settings;
    // Counts the known peers, this router, and one that may have started just now.
    const auto routers = static_cast<double>(m_peers.count() == 0 ? router_census::assumedCount : m_peers.count() + 2);
    return { settings.retryRatio * retryLimitShare, settings.retryAllowance * retryLimitShare / routers, settings.retryWindow };
}

void router_reducer::log(log_level level, const char* name, std::vector<std::pair<std::string, std::string>> fields)
{
    emit(log_event { level, name, std::move(fields) });
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
    case timer_kind::origin_lookup:
        if (found != m_requests.end() && found->second.lookup)
            endLookup(found->second, std::nullopt);
        return;
    case timer_kind::resumption:
        if (found != m_requests.end() && !dispatch(found->second, "resume"))
            awaitResumptionOrFail(found->second);
        return;
    case timer_kind::read_timeout:
        if (id == m_refusalCall)
            return timeOutRefusalCall();
        emit(cancel_store_read { id });
        if (id == m_upstreamRead)
            on(upstreams_read { id, store_read_failed { "timeout" } });
        if (id == m_configRead || id == m_confirmation.read)
            on(config_read { id, store_read_failed { "timeout" } });
        return;
    case timer_kind::upstream_reads:
    case timer_kind::config_reads:
    case timer_kind::refusal_call:
    case timer_kind::first_read:
        // step() starts reads that are due and admits pending requests after each event, so these timers only trigger it.
        return;
    case timer_kind::connection_check:
        return checkConnectionAgain(static_cast<std::uint32_t>(id));
    case timer_kind::record_expiry:
        return removeExpiredUpstreams();
    case timer_kind::digest:
        return exchangeDigests();
    case timer_kind::summary:
        return sendSummary();
    case timer_kind::close_idle:
        return closeIdle();
    case timer_kind::last_answers:
        return giveLastAnswers();
    case timer_kind::break_streams:
        return breakStreams();
    case timer_kind::stop:
        return emit(stop_router {});
    }
}

} // namespace kumquat::router
