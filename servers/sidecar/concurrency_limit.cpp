#include "servers/sidecar/concurrency_limit.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::milliseconds window { 1000 };
    constexpr std::uint32_t minimumSamples = 20;
    // Targets are stated for 95 in 100.
    constexpr double toleratedShare = 0.05;
    constexpr double decreaseFactor = 0.85;
    constexpr double increaseStep = 1.0;
    // A decrease is useful when the gap falls by at least this part of the decrease of the limit.
    constexpr double usefulShare = 0.2;
    // A series of decreases is judged when the limit has fallen to this part of where it began.
    constexpr double judgedShare = 0.65;
    constexpr std::chrono::seconds pauseAfterFutileDecrease { 10 };

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_limit(m_slots)
{
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void concurrency_limit::observe(duration perToken, duration target, std::uint32_t running, instant now)
{
    if (m_samples == 0)
        m_windowEnd = now + window;
    m_samples++;
    m_gapSum += std::chrono::duration<double>(perToken).count();
    if (perToken > target)
        m_exceeded++;
    if (running >= value())
        m_reached = true;
    if (now >= m_windowEnd && m_samples >= minimumSamples)
        closeWindow(now);
}

void concurrency_limit::closeWindow(instant now)
{
    const double meanGap = m_gapSum / m_samples;
    const bool isExceeded = m_exceeded > toleratedShare * m_samples;
    if (isExceeded && now >= m_pausedUntil)
        decrease(meanGap, now);
    else if (!isExceeded && m_reached)
        m_limit = std::min<double>(m_slots, m_limit + increaseStep);
    if (!isExceeded)
        m_limitBefore = 0;
    m_samples = 0;
    m_exceeded = 0;
    m_gapSum = 0;
    m_reached = false;
}

void concurrency_limit::decrease(double meanGap, instant now)
{
    if (m_limitBefore == 0) {
        m_limitBefore = m_limit;
        m_gapBefore = meanGap;
    }
    const double limitFall = 1 - m_limit / m_limitBefore;
    const double gapFall = 1 - meanGap / m_gapBefore;
    const bool isJudged = m_limit <= judgedShare * m_limitBefore;
    if (isJudged && gapFall < usefulShare * limitFall) {
        m_limit = m_limitBefore;
        m_limitBefore = 0;
        m_pausedUntil = now + pauseAfterFutileDecrease;
        return;
    }
    m_limit = std::max(1.0, m_limit * decreaseFactor);
}

} // namespace kumquat
