#include "servers/sidecar/run_statistics.h"

#include <cmath>

namespace kumquat {

namespace {

    constexpr double smoothingFactor = 0.1;
    // About 95 of 100 samples are below the mean plus this many mean absolute deviations.
    constexpr double deviationsToPercentile95 = 2;
    constexpr std::size_t maxClasses = 256;

} // namespace

void running_mean::add(double sample)
{
    const double difference = m_hasSamples ? sample - m_value : 0;
    m_value = m_hasSamples ? m_value + smoothingFactor * difference : sample;
    m_deviation += smoothingFactor * (std::abs(difference) - m_deviation);
    m_hasSamples = true;
}

run_statistics::class_statistics* run_statistics::statisticsOf(const std::string& className)
{
    const auto found = m_classes.find(className);
    if (found != m_classes.end())
        return &found->second;
    return m_classes.size() < maxClasses ? &m_classes[className] : nullptr;
}

void run_statistics::recordFirstOutput(const std::string& className, duration sinceStart)
{
    if (auto* statistics = statisticsOf(className))
        statistics->firstTokenSeconds.add(seconds(sinceStart));
}

duration run_statistics::firstTokenPercentile95(const std::string& className) const
{
    const auto found = m_classes.find(className);
    if (found == m_classes.end())
        return duration { 0 };
    const auto& firstToken = found->second.firstTokenSeconds;
    return fromSeconds(firstToken.value() + deviationsToPercentile95 * firstToken.deviation());
}

void run_statistics::recordFinishedRun(const std::string& className, std::uint32_t tokens, duration slotTime)
{
    if (tokens > 0 && slotTime > duration { 0 })
        m_tokensPerSecond.add(tokens / seconds(slotTime));
    auto* statistics = statisticsOf(className);
    if (!statistics)
        return;
    statistics->tokens.add(tokens);
    statistics->slotSeconds.add(seconds(slotTime));
}

std::optional<std::uint32_t> run_statistics::expectedTokens(const std::string& className) const
{
    const auto found = m_classes.find(className);
    if (found == m_classes.end() || !found->second.tokens.hasSamples())
        return std::nullopt;
    return static_cast<std::uint32_t>(std::lround(found->second.tokens.value()));
}

duration run_statistics::expectedSlotTime(const std::string& className, std::uint32_t tokens) const
{
    const auto found = m_classes.find(className);
    if (found != m_classes.end() && found->second.slotSeconds.hasSamples())
        return fromSeconds(found->second.slotSeconds.value());
    if (m_tokensPerSecond.hasSamples() && m_tokensPerSecond.value() > 0)
        return firstTokenPercentile95(className) + fromSeconds(tokens / m_tokensPerSecond.value());
    return duration { 0 };
}

} // namespace kumquat
