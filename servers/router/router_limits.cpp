#include "servers/router/router_reducer.h"

#include "core/hash.h"
#include "servers/router/availability.h"
#include "servers/router/rotation.h"

#include <algorithm>
#include <cmath>

// Limits that upstreams name for the requests of all routers together, and this router's share of each.

namespace kumquat::router {

namespace {

    constexpr std::size_t maxLimitsPerDigest = 8;
    // The caller's next connection reaches another router, which may have a share.
    constexpr auto retryWithoutShare = std::chrono::milliseconds(200);
    constexpr auto retryAfterFailure = std::chrono::milliseconds(200);
    // A report of an unknown limit that is older than this is likely to be out of date.
    constexpr auto maxUnknownReportAge = std::chrono::seconds(30);

    std::string formatRate(const std::optional<double>& requestsPerSecond)
    {
        return requestsPerSecond ? std::to_string(*requestsPerSecond) : "none";
    }

    // The initial tokens of a router's bucket. They differ between routers, so that these don't all send at the same time.
    double initialTokens(const std::string& instance, const upstream_state& upstream)
    {
        constexpr int hashBits = 32;
        return std::ldexp(static_cast<double>(hashBytes(instance, upstream.key) >> hashBits), -hashBits);
    }

} // namespace

void router_reducer::acceptRateLimit(upstream_state& upstream, const upstream_answer& answer)
{
    if (const auto* failure = answer.rateLimit ? errorOf(*answer.rateLimit) : nullptr)
        return log(log_level::warning, "upstream_limit_unreadable", { { "upstream", upstream.record.id }, { "reason", failure->message } });
    // Without a signature or a refusal, what has answered may not be the upstream itself.
    const bool mayEndLimit = answer.hasSignature || answer.notRun;
    if (answer.wrongUpstream || (!answer.rateLimit && !mayEndLimit))
        return;
    const auto stated = answer.rateLimit ? std::optional(valueOf(*answer.rateLimit)) : std::nullopt;
    recordLimit(upstream, { stated, m_now }, statement_source::this_router, m_options.settings.instance);
}

void router_reducer::recordLimit(upstream_state& upstream, const limit_statement& statement, statement_source source, const std::string& statedTo)
{
    if (!upstream.quota && !statement.requestsPerSecond)
        return;
    const auto before = upstream.quota ? formatRate(upstream.quota->limit.stated()) : "none";
    if (!upstream.quota)
        upstream.quota = upstream_quota { upstream_limit(statement, source, m_now), token_bucket(initialTokens(m_options.settings.instance, upstream), m_now), {}, 0, 0 };
    else if (!upstream.quota->limit.record(statement, source, m_now))
        return;
    log(log_level::info, "upstream_limited",
        { { "upstream", upstream.record.id }, { "requests_per_s", formatRate(statement.requestsPerSecond) }, { "before", before }, { "stated_to", statedTo },
            { "age_ms", formatMilliseconds(m_now - statement.statedAt) }, { "in_flight", std::to_string(upstream.inFlight) } });
    emit(count_metric { "kumquat_router_rate_limit_changes_total", {} });
    applyShare(upstream);
}

// Computes this router's share again if the limit or the routers have changed.
void router_reducer::applyShare(upstream_state& upstream)
{
    auto& quota = *upstream.quota;
    const auto limit = quota.limit.requestsPerSecond(m_now);
    const auto version = m_census.version();
    const bool isUnsettled = !m_census.isSettled(m_now);
    if (quota.limitOfShare == limit && quota.censusOfShare == version && !isUnsettled)
        return;
    const auto share = shareOfLimit(limit, upstream.key, m_census, m_now);
    quota.limitOfShare = limit;
    // While the census is not settled, its version says nothing about the share.
    quota.censusOfShare = isUnsettled ? 0 : version;
    if (share == quota.share)
        return;
    quota.share = share;
    quota.bucket.setRate(share.requestsPerSecond, share.burst, m_now);
    log(log_level::info, "upstream_share", { { "upstream", upstream.record.id }, { "limit_per_s", std::to_string(limit) }, { "share_per_s", std::to_string(share.requestsPerSecond) }, { "burst", std::to_string(share.burst) }, { "routers", std::to_string(m_census.count()) }, { "settled", isUnsettled ? "no" : "yes" } });
}

void router_reducer::refreshShares()
{
    m_census.update(m_peers.neighbourNames(), m_peers.otherDataCentres(), m_now);
    for (const auto& upstream : m_upstreams.all()) {
        if (!upstream->quota)
            continue;
        if (upstream->quota->limit.isOver(m_now))
            upstream->quota.reset();
        else
            applyShare(*upstream);
    }
}

bool router_reducer::admitToLimited(const request_progress& progress, const placement& selected)
{
    // A request that was sent before is not left alone in favour of others.
    if (!selected.upstream->quota || progress.attemptCount > 0 || progress.requiredVersion)
        return true;
    const auto supply = supplyOfLimited(m_upstreams.ofService(progress.service), m_now);
    return !supply || m_limitedAdmissions[progress.service].admit(progress.urgency, *supply, m_now);
}

caller_error router_reducer::describeUnavailability(const request_progress& progress)
{
    if (const auto missing = describeMissingVersion(progress))
        return *missing;
    const auto upstreams = eligibleUpstreams(progress);
    const auto supply = supplyOfLimited(upstreams, m_now);
    if (supply && supply->requestsPerSecond > 0)
        return { error_code::no_upstream, "the upstreams limit their requests, and this router has used up its share", ran_state::no, m_limitedAdmissions[progress.service].nextReturn(progress.urgency, *supply, m_now) };
    if (supply)
        return { error_code::no_upstream, "the upstreams limit their requests, and this router has no share", ran_state::no, retryWithoutShare };
    return { error_code::no_upstream, "no upstream accepted the request", ran_state::no, timeUntilUnblocked(upstreams, m_now).value_or(retryAfterFailure) };
}

std::vector<shared_upstream> router_reducer::eligibleUpstreams(const request_progress& progress) const
{
    auto upstreams = m_upstreams.ofService(progress.service);
    if (progress.requiredVersion)
        std::erase_if(upstreams, [&progress](const shared_upstream& item) { return item->versionKey != *progress.requiredVersion; });
    return upstreams;
}

std::vector<upstream_limit_report> router_reducer::limitReports(digest_scope scope, std::uint32_t rotation) const
{
    std::vector<upstream_limit_report> reports;
    for (const auto& upstream : m_upstreams.all()) {
        if (!upstream->quota)
            continue;
        const auto& limit = upstream->quota->limit;
        if (const auto statement = scope == digest_scope::router ? limit.reportOfRouter(m_now) : limit.reportOfDataCentre(m_now))
            reports.push_back({ upstream->key, upstream->record.startedUnixMs, statement->requestsPerSecond, std::chrono::ceil<std::chrono::milliseconds>(m_now - statement->statedAt) });
    }
    return takeRotated(std::move(reports), maxLimitsPerDigest, rotation);
}

void router_reducer::learnLimits(const router_digest& digest)
{
    const auto source = digest.scope == digest_scope::router ? statement_source::own_data_centre : statement_source::other_data_centre;
    for (const auto& report : digest.limits) {
        const auto upstream = m_upstreams.findByKey(report.upstream);
        const bool isKnown = upstream && upstream->record.startedUnixMs == report.startedUnixMs;
        if (isKnown && (upstream->quota || report.age < maxUnknownReportAge))
            recordLimit(*upstream, { report.requestsPerSecond, m_now - report.age }, source, digest.instance);
    }
}

} // namespace kumquat::router
