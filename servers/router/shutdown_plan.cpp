#include "servers/router/shutdown_plan.h"

#include <algorithm>
#include <chrono>

namespace kumquat::router {

namespace {

    // The platform takes this long to stop directing new callers to a router that reports that it is not ready.
    constexpr auto deregistrationDelay = std::chrono::milliseconds(3500);
    // Once it has been terminating for this long, a router accepts only requests whose deadline is before its last answers.
    constexpr auto maxAcceptanceTime = std::chrono::milliseconds(2500);
    // Upper bounds on the two times above as shares of the grace, for platforms that allow little time to stop.
    constexpr double acceptanceShare = 0.3;
    constexpr double deregistrationShare = 0.5;
    // A router ends this long before the platform would kill it.
    constexpr auto maxEndMargin = std::chrono::milliseconds(300);
    // What the last answers have to leave the process.
    constexpr auto maxSendTime = std::chrono::milliseconds(500);
    // The same for the last events of streams. It is shorter, since a stream may end by itself until then.
    constexpr auto maxEventSendTime = std::chrono::milliseconds(150);
    // Upper bound on each of these two as a share of the grace. An upstream may work on until the last sixth of it.
    constexpr int endShare = 12;
    // If the process was suspended, at least this long remains for the last answers.
    constexpr auto minSendTime = std::chrono::milliseconds(50);

    // The maximum, or the given share of the grace if that is shorter.
    duration limitByGrace(duration maximum, duration grace, double share)
    {
        return std::min(maximum, std::chrono::duration_cast<duration>(grace * share));
    }

} // namespace

shutdown_plan::shutdown_plan(instant beginsAt, duration grace)
    : m_acceptsLikelyUntil(beginsAt + limitByGrace(maxAcceptanceTime, grace, acceptanceShare))
    , m_listenerClosesAt(beginsAt + limitByGrace(deregistrationDelay, grace, deregistrationShare))
    , m_lastAnswersAt(beginsAt + grace - std::min<duration>(maxEndMargin, grace / endShare) - std::min<duration>(maxSendTime, grace / endShare))
    , m_streamsBreakAt(beginsAt + grace - std::min<duration>(maxEndMargin, grace / endShare) - std::min<duration>(maxEventSendTime, grace / endShare / 2))
    , m_endsAt(beginsAt + grace - std::min<duration>(maxEndMargin, grace / endShare))
{
}

bool shutdown_plan::accepts(instant now, instant deadline, instant likelyEnd) const
{
    if (deadline <= m_lastAnswersAt)
        return true;
    return now <= m_acceptsLikelyUntil && likelyEnd <= m_lastAnswersAt;
}

instant shutdown_plan::streamsBreakAt(instant lastAnswersGivenAt) const
{
    return std::max(m_streamsBreakAt, lastAnswersGivenAt);
}

instant shutdown_plan::endsAt(instant streamsBrokenAt) const
{
    return std::max(m_endsAt, streamsBrokenAt + minSendTime);
}

} // namespace kumquat::router
