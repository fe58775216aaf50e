#include "servers/sidecar/slot_scheduler.h"

#include <algorithm>

namespace kumquat {

namespace {

    using std::chrono::milliseconds;
    constexpr milliseconds minRetryAfter { 100 };
    constexpr milliseconds maxRetryAfter { 60000 };
    constexpr std::uint32_t latencySampleTokens = 32;
    constexpr std::uint32_t minExtraChargeTokens = 32;
    constexpr std::uint32_t extraChargeDivisor = 4;

} // namespace

void slot_scheduler::recordOutput(const attempt_id& id, std::uint32_t tokens, instant now)
{
    if (!m_running.contains(id))
        return;
    auto& attempt = m_attempts.at(id);
    const auto counted = std::min(tokens, attempt.remainingTokens);
    attempt.remainingTokens -= counted;
    m_tierLoads.subtractProduced(attempt.queueItem.tierRank, counted);
    recordTokenLatency(attempt, tokens, now);
    attempt.producedTokens += tokens;
    attempt.lastOutputAt = now;
    if (attempt.kind != service_kind::engine || attempt.producedTokens <= attempt.chargedTokens)
        return;
    // The length was underestimated, so the organisation is charged for more tokens as the output grows.
    const double extra = std::max(minExtraChargeTokens, attempt.producedTokens / extraChargeDivisor);
    attempt.chargedTokens += extra;
    m_queue.charge(attempt.queueItem.tierRank, attempt.queueItem.organisation, extra);
}

void slot_scheduler::recordTokenLatency(scheduled_attempt& attempt, std::uint32_t tokens, instant now)
{
    if (!attempt.lastOutputAt) {
        if (!attempt.queueItem.resumes)
            m_statistics.recordFirstOutput(attempt.queueItem.className, now - attempt.startedAt);
        return;
    }
    attempt.sampleTokens += tokens;
    attempt.sampleTime += now - *attempt.lastOutputAt;
    submitLatencySample(attempt, latencySampleTokens, now);
}

// A between-token target applies to the mean over a request, so a sample covers several tokens and not a single gap.
void slot_scheduler::submitLatencySample(scheduled_attempt& attempt, std::uint32_t minTokens, instant now)
{
    if (attempt.sampleTokens < minTokens)
        return;
    if (attempt.betweenTokens)
        m_limit.observe(attempt.sampleTime / attempt.sampleTokens, *attempt.betweenTokens, runningCount(), now);
    attempt.sampleTokens = 0;
    attempt.sampleTime = duration { 0 };
}

duration slot_scheduler::predictedWait(const queued_attempt& arrival) const
{
    if (runningCount() < usableSlots() || m_expectedEndsPerSecond <= 0)
        return duration { 0 };
    const double wait = static_cast<double>(m_queue.countBefore(arrival) + 1) / m_expectedEndsPerSecond;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

// Returns the expected rate, per second, at which one run ends. Slots become free at the sum of these rates.
double slot_scheduler::expectedEndRate(const scheduled_attempt& attempt)
{
    const auto expected = std::chrono::duration<double>(attempt.queueItem.expectedSlotTime).count();
    return expected > 0 ? 1 / expected : 0;
}

milliseconds slot_scheduler::retryAfter(duration wait) const
{
    return std::clamp(std::chrono::ceil<milliseconds>(wait), minRetryAfter, maxRetryAfter);
}

} // namespace kumquat
