#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquat {

// The exponentially weighted moving average of a series of samples, and their mean absolute deviation from it.
class running_mean {
public:
    void add(double sample);
    bool hasSamples() const { return m_hasSamples; }
    double value() const { return m_value; }
    double deviation() const { return m_deviation; }

private:
    bool m_hasSamples = false;
    double m_value = 0;
    double m_deviation = 0;
};

// Estimates for each class the output length in tokens, the time in a slot and the time to the first token, from finished
// runs, because none of them is known when a request arrives. Stores at most 256 classes.
class run_statistics {
public:
    // Records the time from the start of a run to its first output.
    void recordFirstOutput(const std::string& className, duration sinceStart);
    // Records the output tokens of a finished run and its total time in a slot.
    void recordFinishedRun(const std::string& className, std::uint32_t tokens, duration slotTime);

    // Returns the mean output length, or nothing if no run of the class has finished.
    std::optional<std::uint32_t> expectedTokens(const std::string& className) const;
    // Returns the mean time in a slot of the class. If no run of the class has finished, estimates it for the given number
    // of tokens from the token rate of all classes; returns zero if there are no samples.
    duration expectedSlotTime(const std::string& className, std::uint32_t tokens) const;
    // Returns an estimate of the 95th percentile of the time from start to first output, or zero if there are no samples.
    duration firstTokenPercentile95(const std::string& className) const;
    // Mean output tokens per second of a single run, over all classes, or zero if no run has finished.
    double tokensPerSecond() const { return m_tokensPerSecond.value(); }

private:
    struct class_statistics {
        running_mean tokens;
        running_mean slotSeconds;
        running_mean firstTokenSeconds;
    };

    static double seconds(duration span) { return std::chrono::duration<double>(span).count(); }
    static duration fromSeconds(double span) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span)); }
    // Returns the statistics of the class and adds it if necessary, or returns null if the maximum number of classes is
    // reached.
    class_statistics* statisticsOf(const std::string& className);

    std::map<std::string, class_statistics> m_classes;
    running_mean m_tokensPerSecond;
};

} // namespace kumquat
