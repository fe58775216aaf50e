#include "servers/sidecar/concurrency_limit.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds window { 1000 };
    constexpr std::uint32_t minimumSamples = 20;
    // Targets apply to the 95th percentile.
    constexpr double toleratedShare = 0.05;
    constexpr double decreaseFactor = 0.85;
    constexpr double increaseStep = 0.5;
    // The prefill of a starting run slows the other runs down, so the limit aims at this part of the target.
    constexpr double targetMargin = 0.9;
    // The latency of a single run is extrapolated once the number of runs has fallen to this part of the number before the
    // first decrease.
    constexpr double judgedShare = 0.75;
    // The target counts as unreachable if a single run is extrapolated to take more than this part of it.
    constexpr double reachableRatio = 0.95;
    constexpr std::chrono::seconds pauseAfterFutileDecrease { 30 };

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_limit(m_slots)
{
}

void concurrency_limit::observe(duration perToken, duration target, std::uint32_t running, instant now)
{
    if (m_samples == 0)
        m_windowEnd = now + window;
    m_samples++;
    m_sum.running += running;
    m_sum.ratio += std::chrono::duration<double>(perToken) / std::chrono::duration<double>(target);
    if (std::chrono::duration<double>(perToken) > targetMargin * std::chrono::duration<double>(target))
        m_exceeded++;
    if (running >= value())
        m_reached = true;
    if (now >= m_windowEnd && m_samples >= minimumSamples)
        closeWindow(now);
}

void concurrency_limit::closeWindow(instant now)
{
    const pace mean { m_sum.running / m_samples, m_sum.ratio / m_samples };
    const bool isExceeded = m_exceeded > toleratedShare * m_samples;
    if (isExceeded && now >= m_pausedUntil)
        decrease(mean, now);
    else if (!isExceeded && m_reached)
        m_limit = std::min<double>(m_slots, m_limit + increaseStep);
    if (!isExceeded)
        m_paceBefore.reset();
    m_samples = 0;
    m_exceeded = 0;
    m_sum = {};
    m_reached = false;
}

void concurrency_limit::decrease(const pace& mean, instant now)
{
    if (!m_paceBefore) {
        m_limitBefore = m_limit;
        m_paceBefore = mean;
    }
    if (isFutile(mean)) {
        m_limit = m_limitBefore;
        m_paceBefore.reset();
        m_pausedUntil = now + pauseAfterFutileDecrease;
        return;
    }
    // When fewer runs than the limit are executing, a decrease from the limit alone would have no effect, so it starts from
    // the number of runs.
    m_limit = std::max(1.0, std::min(m_limit, mean.running) * decreaseFactor);
}

// Extrapolates the line through the latencies before the decreases and now to a single run.
bool concurrency_limit::isFutile(const pace& mean) const
{
    if (mean.running > judgedShare * m_paceBefore->running)
        return false;
    const double slope = (m_paceBefore->ratio - mean.ratio) / (m_paceBefore->running - mean.running);
    const double alone = mean.ratio - slope * (mean.running - 1);
    return alone > reachableRatio;
}

} // namespace kumquat
