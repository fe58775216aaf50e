#include "servers/sidecar/run_estimator.h"

#include <cmath>

namespace kumquat {

namespace {

    constexpr double smoothing = 0.1;
    // About 95 of 100 samples are below the mean plus this many mean absolute deviations.
    constexpr double deviationsToTail = 2;
    constexpr std::size_t maximumClasses = 256;

} // namespace

void running_mean::add(double sample)
{
    const double difference = m_known ? sample - m_value : 0;
    m_value = m_known ? m_value + smoothing * difference : sample;
    m_deviation += smoothing * (std::abs(difference) - m_deviation);
    m_known = true;
}

run_estimator::class_statistics* run_estimator::statisticsOf(const std::string& className)
{
    const auto found = m_classes.find(className);
    if (found != m_classes.end())
        return &found->second;
    return m_classes.size() < maximumClasses ? &m_classes[className] : nullptr;
}

void run_estimator::sawFirstOutput(const std::string& className, duration sinceStart)
{
    if (auto* statistics = statisticsOf(className))
        statistics->firstTokenSeconds.add(seconds(sinceStart));
}

duration run_estimator::firstToken(const std::string& className) const
{
    const auto found = m_classes.find(className);
    if (found == m_classes.end())
        return duration { 0 };
    const auto& sample = found->second.firstTokenSeconds;
    return fromSeconds(sample.value() + deviationsToTail * sample.deviation());
}

void run_estimator::sawFinish(const std::string& className, std::uint32_t tokens, duration ran)
{
    if (tokens > 0 && ran > duration { 0 })
        m_tokensPerSecond.add(tokens / seconds(ran));
    auto* statistics = statisticsOf(className);
    if (!statistics)
        return;
    statistics->tokens.add(tokens);
    statistics->runSeconds.add(seconds(ran));
}

std::optional<std::uint32_t> run_estimator::expectedTokens(const std::string& className) const
{
    const auto found = m_classes.find(className);
    if (found == m_classes.end() || !found->second.tokens.known())
        return std::nullopt;
    return static_cast<std::uint32_t>(std::lround(found->second.tokens.value()));
}

duration run_estimator::expectedRun(const std::string& className, std::uint32_t tokens) const
{
    const auto found = m_classes.find(className);
    if (found != m_classes.end() && found->second.runSeconds.known())
        return fromSeconds(found->second.runSeconds.value());
    if (m_tokensPerSecond.known() && m_tokensPerSecond.value() > 0)
        return firstToken(className) + fromSeconds(tokens / m_tokensPerSecond.value());
    return duration { 0 };
}

} // namespace kumquat
