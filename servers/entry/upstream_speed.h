#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquat {

// Observed speed of one upstream. The effect of old samples decays, so that a straggler that may have recovered is tried
// again; its weight then rises gradually.
class upstream_speed {
public:
    // Adds the output tokens per second of one request from the upstream's report.
    void observeRate(double tokensPerSecond, instant now);
    // Adds the time between two chunks of a stream, divided by the tokens of the later one.
    void observeTokenInterval(duration perToken, instant now);
    // Adds the time from the start of a run to its first chunk.
    void observeFirstChunk(duration, instant now);

    std::optional<double> rate() const { return m_rate; }
    std::optional<double> secondsPerToken() const { return m_secondsPerToken; }
    std::optional<double> firstChunkSeconds() const { return m_firstChunk; }
    instant lastSampleAt() const { return m_lastSampleAt; }
    // Fraction of its peers' median speed that routing assumes for the upstream, from minSpeedWeight to 1.
    double weight() const { return m_weight; }
    // Lowers the weight to the target at once, or raises it towards the target gradually.
    void updateWeight(double target, instant now);

private:
    std::optional<double> m_rate;
    std::optional<double> m_secondsPerToken;
    std::optional<double> m_firstChunk;
    instant m_lastSampleAt;
    instant m_weightUpdatedAt;
    double m_weight = 1;
};

constexpr double minSpeedWeight = 0.05;
// An upstream whose speed is below this fraction of its peers' median is a straggler.
constexpr double stragglerRatio = 0.5;

// Compares the upstreams of one service with their median and updates their weights. Does nothing for fewer than three
// upstreams.
void compareSpeeds(const std::vector<upstream_speed*>&, instant now);

} // namespace kumquat
