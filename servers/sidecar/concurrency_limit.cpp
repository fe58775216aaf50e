#include "servers/sidecar/concurrency_limit.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds windowLength { 1000 };
    constexpr std::uint32_t minSamples = 20;
    // Targets apply to the 95th percentile.
    constexpr double toleratedExceededShare = 0.05;
    constexpr double decreaseFactor = 0.85;
    constexpr double increaseStep = 0.5;
    // The prefill of a starting run slows the other runs down, so the limit aims at this part of the target.
    constexpr double targetMargin = 0.9;
    // The latency of a single run is extrapolated once the number of runs has fallen to this part of the number before the
    // first decrease.
    constexpr double extrapolationRunShare = 0.75;
    // The target counts as unreachable if a single run is extrapolated to take more than this part of it.
    constexpr double maxSingleRunRatio = 0.95;
    // Time without decreases after the target has proved unreachable.
    constexpr std::chrono::seconds pauseAfterUnreachableTarget { 30 };

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_limit(m_slots)
{
}

void concurrency_limit::observe(duration perToken, duration target, std::uint32_t running, instant now)
{
    if (m_sampleCount == 0)
        m_windowEnd = now + windowLength;
    m_sampleCount++;
    m_sum.running += running;
    m_sum.latencyRatio += std::chrono::duration<double>(perToken) / std::chrono::duration<double>(target);
    if (std::chrono::duration<double>(perToken) > targetMargin * std::chrono::duration<double>(target))
        m_exceededCount++;
    if (running >= value())
        m_limitReached = true;
    if (now >= m_windowEnd && m_sampleCount >= minSamples)
        closeWindow(now);
}

void concurrency_limit::closeWindow(instant now)
{
    const operating_point mean { m_sum.running / m_sampleCount, m_sum.latencyRatio / m_sampleCount };
    const bool isExceeded = m_exceededCount > toleratedExceededShare * m_sampleCount;
    if (isExceeded && now >= m_decreasesPausedUntil)
        decrease(mean, now);
    else if (!isExceeded && m_limitReached)
        m_limit = std::min<double>(m_slots, m_limit + increaseStep);
    if (!isExceeded)
        m_pointBeforeDecreases.reset();
    m_sampleCount = 0;
    m_exceededCount = 0;
    m_sum = {};
    m_limitReached = false;
}

void concurrency_limit::decrease(const operating_point& mean, instant now)
{
    if (!m_pointBeforeDecreases) {
        m_limitBeforeDecreases = m_limit;
        m_pointBeforeDecreases = mean;
    }
    if (isTargetUnreachable(mean)) {
        m_limit = m_limitBeforeDecreases;
        m_pointBeforeDecreases.reset();
        m_decreasesPausedUntil = now + pauseAfterUnreachableTarget;
        return;
    }
    // When fewer runs than the limit are executing, a decrease from the limit alone would have no effect, so it starts from
    // the number of runs.
    m_limit = std::max(1.0, std::min(m_limit, mean.running) * decreaseFactor);
}

// Extrapolates the line through the latencies before the decreases and now to a single run.
bool concurrency_limit::isTargetUnreachable(const operating_point& mean) const
{
    if (mean.running > extrapolationRunShare * m_pointBeforeDecreases->running)
        return false;
    const double slope = (m_pointBeforeDecreases->latencyRatio - mean.latencyRatio) / (m_pointBeforeDecreases->running - mean.running);
    const double singleRunRatio = mean.latencyRatio - slope * (mean.running - 1);
    return singleRunRatio > maxSingleRunRatio;
}

} // namespace kumquat
