#include "servers/router/router_reducer.h"

#include "servers/router/store_timeouts.h"

// How old what a router knows from the store may be, and what it does about older knowledge. The promises that depend on it are listed in
// docs/design/freshness.md.

namespace kumquat::router {

namespace {

    // Requests with a key are refused once the last confirmation of the configuration is older than this share of the
    // revocation deadline, the time after which a revoked key must be refused.
    constexpr double keyFreshnessShare = 0.9;
    // While the store answers, some router confirms the records within the longest gap between confirmations, and digests tell the
    // others within this time.
    constexpr auto digestTime = std::chrono::milliseconds(500);

} // namespace

const char* toString(knowledge kind)
{
    return kind == knowledge::configuration ? "configuration" : "upstream_records";
}

knowledge_age router_reducer::knowledgeAge(knowledge kind, instant now) const
{
    const auto age = [now](std::optional<instant> confirmed) { return confirmed ? std::optional(now - *confirmed) : std::nullopt; };
    if (kind == knowledge::upstream_records)
        return { kind, age(recordsConfirmedAt()), maxConfirmationGap + digestTime };
    return { kind, age(configConfirmedAt()), std::chrono::duration_cast<duration>(m_options.settings.revocationDeadline * keyFreshnessShare) };
}

bool router_reducer::keysAreFresh(instant now) const
{
    return !knowledgeAge(knowledge::configuration, now).isOutdated() && configIsNewest();
}

// Whatever has kept the confirmations of the records away: while the store answers, a watch that has waited for so long is not trusted.
void router_reducer::checkOutdatedRecords()
{
    const auto records = knowledgeAge(knowledge::upstream_records, m_now);
    if (storeIsAnswering() && records.isOutdated() && m_upstreamWatcher.waitsSinceBefore(m_now - records.maxAge))
        checkRecords();
}

void router_reducer::reportFreshness()
{
    for (const auto kind : knowledgeKinds) {
        const auto item = knowledgeAge(kind, m_now);
        if (!item.age || item.isOutdated() == m_outdated.contains(item.kind))
            continue;
        const bool isOutdated = m_outdated.erase(item.kind) == 0 && m_outdated.insert(item.kind).second;
        log(isOutdated ? log_level::warning : log_level::info, isOutdated ? "knowledge_outdated" : "knowledge_confirmed",
            { { "kind", toString(item.kind) }, { "age_ms", formatMilliseconds(*item.age) }, { "max_age_ms", formatMilliseconds(item.maxAge) } });
    }
}

} // namespace kumquat::router
