#include "servers/entry/upstream_speed.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Weight of the newest sample in the smoothed values.
    constexpr double smoothing = 0.2;
    // Fewest values from which a median is computed.
    constexpr std::size_t minPeers = 3;
    // Age of the last sample from which on a straggler's ratio rises, and the time in which it rises to stragglerRatio.
    constexpr double sampleValiditySeconds = 10;
    constexpr double sampleDecaySeconds = 30;
    // Time in which a weight rises from 0 to 1.
    constexpr double weightRecoverySeconds = 30;

    double toSeconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    void smoothInto(std::optional<double>& value, double sample)
    {
        value = value ? *value + smoothing * (sample - *value) : sample;
    }

    using getter = std::optional<double> (upstream_speed::*)() const;

    std::optional<double> medianOf(const std::vector<upstream_speed*>& speeds, getter get)
    {
        std::vector<double> values;
        for (const auto* speed : speeds) {
            if (const auto value = (speed->*get)())
                values.push_back(*value);
        }
        if (values.size() < minPeers)
            return std::nullopt;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    // Raises a straggler's ratio as its last sample grows old, up to stragglerRatio: it is probed again, but does not count as
    // fast as its peers before new samples confirm that.
    double decayedRatio(double ratio, instant lastSampleAt, instant now)
    {
        const double age = toSeconds(now - lastSampleAt) - sampleValiditySeconds;
        const double decay = std::clamp(age / sampleDecaySeconds, 0.0, 1.0);
        return ratio + (stragglerRatio - ratio) * decay;
    }

} // namespace

void upstream_speed::observeRate(double tokensPerSecond, instant now)
{
    if (tokensPerSecond <= 0 || tokensPerSecond == m_rate)
        return;
    m_rate = tokensPerSecond;
    m_lastSampleAt = now;
}

void upstream_speed::observeTokenInterval(duration perToken, instant now)
{
    smoothInto(m_secondsPerToken, toSeconds(perToken));
    m_lastSampleAt = now;
}

void upstream_speed::observeFirstChunk(duration span, instant now)
{
    smoothInto(m_firstChunk, toSeconds(span));
    m_lastSampleAt = now;
}

void upstream_speed::updateWeight(double target, instant now)
{
    const double rise = std::max(0.0, toSeconds(now - m_weightUpdatedAt)) / weightRecoverySeconds;
    m_weight = std::min(target, m_weight + rise);
    m_weightUpdatedAt = now;
}

void compareSpeeds(const std::vector<upstream_speed*>& speeds, instant now)
{
    if (speeds.size() < minPeers)
        return;
    const auto rate = medianOf(speeds, &upstream_speed::rate);
    const auto tokenInterval = medianOf(speeds, &upstream_speed::secondsPerToken);
    const auto firstChunk = medianOf(speeds, &upstream_speed::firstChunkSeconds);
    for (auto* speed : speeds) {
        double ratio = 1;
        if (rate && *rate > 0 && speed->rate())
            ratio = std::min(ratio, *speed->rate() / *rate);
        if (tokenInterval && speed->secondsPerToken().value_or(0) > 0)
            ratio = std::min(ratio, *tokenInterval / *speed->secondsPerToken());
        if (firstChunk && speed->firstChunkSeconds().value_or(0) > 0)
            ratio = std::min(ratio, *firstChunk / *speed->firstChunkSeconds());
        const double target = ratio < stragglerRatio ? decayedRatio(ratio, speed->lastSampleAt(), now) : 1;
        speed->updateWeight(std::max(minSpeedWeight, target), now);
    }
}

} // namespace kumquat
