#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquat {

// What an entry has seen of the speed of one upstream. Old evidence fades, so that a straggler that has recovered is
// tried again; its weight then returns slowly.
class upstream_speed {
public:
    // Tokens per second of one request, from the upstream's report.
    void observeRate(double tokensPerSecond, instant now);
    // Time between two chunks of a stream, divided by the tokens of the later one.
    void observeGap(duration perToken, instant now);
    // Time from the start of a run to its first chunk.
    void observeFirstChunk(duration, instant now);

    std::optional<double> rate() const { return m_rate; }
    std::optional<double> gapSeconds() const { return m_gap; }
    std::optional<double> firstChunkSeconds() const { return m_firstChunk; }
    instant lastEvidence() const { return m_lastEvidence; }
    // Share of its peers' speed that routing credits the upstream with, from minimumSpeedWeight to 1.
    double weight() const { return m_weight; }
    // Falls to the target at once and rises towards it gradually.
    void moveWeight(double target, instant now);

private:
    std::optional<double> m_rate;
    std::optional<double> m_gap;
    std::optional<double> m_firstChunk;
    instant m_lastEvidence;
    instant m_weightMovedAt;
    double m_weight = 1;
};

constexpr double minimumSpeedWeight = 0.05;
// An upstream below this share of its peers' median speed is a straggler.
constexpr double stragglerRatio = 0.5;

// Compares upstreams of one service with their median and adjusts their weights. Does nothing to fewer than three.
void compareSpeeds(const std::vector<upstream_speed*>&, instant now);

} // namespace kumquat
