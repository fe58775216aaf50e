#include "servers/router/router_reducer.h"

#include <algorithm>

// What upstreams state about themselves in their answers, and how the other routers learn of it.

namespace kumquat::router {

namespace {

    // Digests tell for this long that an upstream is leaving, so that a router that loses some of them still learns of it.
    constexpr auto leavingAnnouncementTime = std::chrono::seconds(5);

} // namespace

void router_reducer::acceptStatements(upstream_state& upstream, const upstream_answer& answer)
{
    acceptRetryAfter(upstream, answer);
    acceptRateLimit(upstream, answer);
    if (!answer.leaving || upstream.announcedLeaving)
        return;
    markLeaving(upstream, m_options.settings.instance);
    m_leavingUpstreams.emplace_back(leaving_upstream { upstream.record.id, upstream.record.startedUnixMs }, m_now + leavingAnnouncementTime);
}

// A busy upstream is left alone for the whole time that it named, also by hedges, retries and resumptions, and also if it is
// the only one.
void router_reducer::acceptRetryAfter(upstream_state& upstream, const upstream_answer& answer)
{
    if (!answer.invalidRetryAfter.empty())
        log(log_level::warning, "upstream_pause_unreadable", { { "upstream", upstream.record.id }, { "value", answer.invalidRetryAfter } });
    if (!answer.retryAfter)
        return;
    upstream.blockedUntil = std::max(upstream.blockedUntil, m_now + *answer.retryAfter);
    log(log_level::info, "upstream_paused", { { "upstream", upstream.record.id }, { "for_ms", formatMilliseconds(*answer.retryAfter) }, { "in_flight", std::to_string(upstream.inFlight) } });
    emit(count_metric { "kumquat_router_paused_upstreams_total", {} });
}

void router_reducer::markLeaving(upstream_state& upstream, const std::string& statedTo)
{
    upstream.announcedLeaving = true;
    log(log_level::info, "upstream_leaving", { { "upstream", upstream.record.id }, { "stated_to", statedTo }, { "in_flight", std::to_string(upstream.inFlight) }, { "record", toString(upstream.position) } });
    emit(count_metric { "kumquat_router_leaving_upstreams_total", {} });
}

std::vector<leaving_upstream> router_reducer::recentLeavingUpstreams()
{
    std::erase_if(m_leavingUpstreams, [this](const auto& item) { return item.second <= m_now; });
    std::vector<leaving_upstream> recent;
    recent.reserve(m_leavingUpstreams.size());
    for (const auto& [upstream, tellUntil] : m_leavingUpstreams)
        recent.push_back(upstream);
    return recent;
}

} // namespace kumquat::router
