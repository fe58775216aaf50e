#include "servers/router/upstream_limit.h"

#include <algorithm>
#include <cmath>

namespace kumquat::router {

namespace {

    // All routers together send at least this much to an upstream, since only answers tell when its limit has changed.
    constexpr double minRequestsPerSecond = 0.1;
    // After the end of a limit the rate doubles each second for this time.
    constexpr auto slowStartTime = std::chrono::seconds(6);
    // Statements that differ by less than this are of the same time, since reports spend some time on their way.
    constexpr auto reportDelayTolerance = std::chrono::milliseconds(500);
    // If nobody else has told the newest statement for this long, this router tells an equal one of its own.
    constexpr auto silenceBeforeReport = std::chrono::seconds(2);

} // namespace

upstream_limit::upstream_limit(const limit_statement& first, statement_source source, instant now)
{
    record(first, source, now);
}

bool upstream_limit::record(const limit_statement& statement, statement_source source, instant now)
{
    if (source == statement_source::this_router)
        m_toldRouter = statement;
    if (source != statement_source::other_data_centre && (!m_toldDataCentre || statement.statedAt >= m_toldDataCentre->statedAt))
        m_toldDataCentre = statement;
    if (statement.statedAt + reportDelayTolerance >= m_newest.statedAt)
        m_newestHeardAt = now;
    if (statement.statedAt < m_newest.statedAt)
        return false;
    const bool isEnding = !statement.requestsPerSecond && m_newest.requestsPerSecond;
    const bool isChange = statement.requestsPerSecond != m_newest.requestsPerSecond;
    m_newest = statement;
    if (isEnding)
        m_endedAt = now;
    if (statement.requestsPerSecond)
        m_lastRate = std::max(*statement.requestsPerSecond, minRequestsPerSecond);
    return isChange;
}

double upstream_limit::requestsPerSecond(instant now) const
{
    if (m_newest.requestsPerSecond)
        return m_lastRate;
    return m_lastRate * std::exp2(std::chrono::duration<double>(now - m_endedAt).count());
}

bool upstream_limit::isOver(instant now) const
{
    return !m_newest.requestsPerSecond && now - m_endedAt >= slowStartTime;
}

std::optional<limit_statement> upstream_limit::reportOfRouter(instant now) const
{
    return selectReport(m_toldRouter, now);
}

std::optional<limit_statement> upstream_limit::reportOfDataCentre(instant now) const
{
    return selectReport(m_toldDataCentre, now);
}

std::optional<limit_statement> upstream_limit::selectReport(const std::optional<limit_statement>& told, instant now) const
{
    if (!told || told->requestsPerSecond != m_newest.requestsPerSecond)
        return std::nullopt;
    const bool isNewest = told->statedAt >= m_newest.statedAt;
    const bool othersAreSilent = now - m_newestHeardAt >= silenceBeforeReport;
    return isNewest || othersAreSilent ? told : std::nullopt;
}

} // namespace kumquat::router
