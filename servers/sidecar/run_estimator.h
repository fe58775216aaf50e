#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquat {

// Exponentially weighted mean of a stream of samples.
class running_mean {
public:
    void add(double sample);
    bool known() const { return m_known; }
    double value() const { return m_value; }

private:
    bool m_known = false;
    double m_value = 0;
};

// Learns how long answers of each class are and how long they occupy a slot, since neither is known in advance.
class run_estimator {
public:
    // Records the first output of a run.
    void sawFirstOutput(duration sinceStart) { m_firstToken.add(seconds(sinceStart)); }
    // Records a finished run.
    void sawFinish(const std::string& className, std::uint32_t tokens, duration ran);

    // Returns the mean output length, or nothing while no answer of the class has been seen.
    std::optional<std::uint32_t> expectedTokens(const std::string& className) const;
    // Returns the mean time in a slot of an output of this length, or zero while nothing is known.
    duration expectedRun(const std::string& className, std::uint32_t tokens) const;
    duration firstToken() const { return fromSeconds(m_firstToken.value()); }
    // Output tokens per second of one run.
    double tokensPerSecond() const { return m_tokensPerSecond.value(); }

private:
    struct class_statistics {
        running_mean tokens;
        running_mean runSeconds;
    };

    static double seconds(duration span) { return std::chrono::duration<double>(span).count(); }
    static duration fromSeconds(double span) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span)); }
    // Returns null when too many classes are known already.
    class_statistics* statisticsOf(const std::string& className);

    std::map<std::string, class_statistics> m_classes;
    running_mean m_firstToken;
    running_mean m_tokensPerSecond;
};

} // namespace kumquat
