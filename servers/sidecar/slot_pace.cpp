#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using std::chrono::milliseconds;
    constexpr milliseconds shortestRetryAfter { 100 };
    constexpr milliseconds longestRetryAfter { 60000 };
    constexpr std::uint32_t observedStretchTokens = 32;
    constexpr std::uint32_t smallestExtraCharge = 32;
    constexpr std::uint32_t extraChargeDivisor = 4;

} // namespace

void slot_scheduler::produced(const attempt_id& id, std::uint32_t tokens, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    const auto counted = std::min(tokens, attempt.remainingTokens);
    attempt.remainingTokens -= counted;
    m_tierLoads.subtractProduced(attempt.facts.tierRank, counted);
    measurePace(attempt, tokens, now);
    attempt.producedTokens += tokens;
    attempt.lastOutputAt = now;
    if (attempt.kind != service_kind::engine || attempt.producedTokens <= attempt.charged)
        return;
    // The length was underestimated, so the organisation is charged for more tokens as the output grows.
    const double extra = std::max(smallestExtraCharge, attempt.producedTokens / extraChargeDivisor);
    attempt.charged += extra;
    m_queue.charge(attempt.facts.tierRank, attempt.facts.organisation, extra);
}

void slot_scheduler::measurePace(scheduled_attempt& attempt, std::uint32_t tokens, instant now)
{
    if (!attempt.lastOutputAt) {
        if (!attempt.facts.resumes)
            m_statistics.recordFirstOutput(attempt.facts.className, now - attempt.startedAt);
        return;
    }
    attempt.stretchTokens += tokens;
    attempt.stretchTime += now - *attempt.lastOutputAt;
    observePace(attempt, observedStretchTokens, now);
}

// A between-token target applies to the mean over a request, so a sample covers several tokens and not a single gap.
void slot_scheduler::observePace(scheduled_attempt& attempt, std::uint32_t smallestStretch, instant now)
{
    if (attempt.stretchTokens < smallestStretch)
        return;
    if (attempt.betweenTokens)
        m_limit.observe(attempt.stretchTime / attempt.stretchTokens, *attempt.betweenTokens, runningCount(), now);
    attempt.stretchTokens = 0;
    attempt.stretchTime = duration { 0 };
}

duration slot_scheduler::predictedWait(const queued_attempt& arrival) const
{
    if (runningCount() < usableSlots() || m_releasesPerSecond <= 0)
        return duration { 0 };
    const double wait = static_cast<double>(m_queue.ahead(arrival) + 1) / m_releasesPerSecond;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

// Returns the expected rate, per second, at which one run ends. Slots become free at the sum of these rates.
double slot_scheduler::releaseRate(const scheduled_attempt& attempt)
{
    const auto expected = std::chrono::duration<double>(attempt.facts.expectedSlotTime).count();
    return expected > 0 ? 1 / expected : 0;
}

milliseconds slot_scheduler::retryAfter(duration wait) const
{
    return std::clamp(std::chrono::ceil<milliseconds>(wait), shortestRetryAfter, longestRetryAfter);
}

} // namespace kumquat
