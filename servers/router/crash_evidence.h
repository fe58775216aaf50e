#pragma once

#include "core/clock.h"
#include "core/crash_report.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

// Which of the crashes that a suspect was at count against it.

namespace kumquat::router {

// From whom a router knows of a crash or of an answer.
enum class news_origin { own,
    own_data_centre,
    other_data_centre };

// A crash of an upstream at which a suspect was.
struct observed_crash {
    std::uint32_t upstream = 0;
    std::uint32_t request = 0;
    int position = 0;
    instant at;
    news_origin origin = news_origin::own;
    // When this router learned of it.
    instant knownSince;
};

// In the order of their times.
using observed_crashes = std::vector<observed_crash>;

// A crash, whatever is suspected of it.
struct known_crash {
    std::uint32_t upstream = 0;
    instant at;
    // A refused prompt part was there.
    bool explained = false;
};

// Routers notice one crash of an upstream within this time of each other.
constexpr auto sameCrashTime = std::chrono::milliseconds(1500);

template <typename Crash>
bool isSameCrash(const Crash& crash, std::uint32_t upstream, instant at)
{
    return crash.upstream == upstream && crash.at - at < sameCrashTime && at - crash.at < sameCrashTime;
}

// Counts crashes that are apart in time; those of one request count once for a prompt part.
int countIndependent(suspect_kind, const observed_crashes&);

// Counts also crashes at one moment, if the suspect was at half or more of the upstreams that crashed then. Upstreams that fail together for
// another reason, as in a rack without power, fail whatever they run.
int countCoinciding(suspect_kind, const observed_crashes&, const std::vector<known_crash>&);

bool contains(const observed_crashes&, const observed_crash&);
bool containsAll(const observed_crashes& all, const observed_crashes& some);
// The crashes of the first list that the second one has too, or that it has not.
observed_crashes sharedCrashes(const observed_crashes& first, const observed_crashes& second);
observed_crashes unsharedCrashes(const observed_crashes& first, const observed_crashes& second);

} // namespace kumquat::router
