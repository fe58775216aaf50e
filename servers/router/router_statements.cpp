#include "servers/router/router_reducer.h"

// What upstreams state about themselves in their answers, and how the other routers learn of it.

namespace kumquat::router {

namespace {

    // Digests tell for this long that an upstream is leaving, so that a router that loses some of them still learns of it.
    constexpr auto leavingAnnouncementTime = std::chrono::seconds(5);

} // namespace

void router_reducer::acceptStatements(upstream_state& upstream, const upstream_answer& answer)
{
    if (!answer.leaving || upstream.announcedLeaving)
        return;
    markLeaving(upstream, m_options.settings.instance);
    m_leavingUpstreams.emplace_back(leaving_upstream { upstream.record.id, upstream.record.startedUnixMs }, m_now + leavingAnnouncementTime);
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
