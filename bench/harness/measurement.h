#pragma once

#include "bench/harness/virtual_world.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// What callers of one class experienced.
struct class_figures {
    std::string name;
    std::uint32_t tierRank = 0;
    bool isPlain = false;
    // Whether the scenario's demand of this class alone fits the capacity that stays up.
    bool demandFits = true;
    std::size_t arrived = 0;
    std::size_t answered = 0;
    // Turned away because their organisation exceeded its own limits; they have no claim to the targets.
    std::size_t limited = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t left = 0;
    double attainment = 0;
    double letterAttainment = 0;
    // Output tokens a second of answers that met their targets.
    double goodput = 0;
    double computedTokens = 0;
    double wastedTokens = 0;
    double firstToken95 = 0;
    double betweenTokens95 = 0;
    double worstWait = 0;
    // Longest time without a completion while the class had work waiting.
    double longestDrought = 0;
};

// What one policy achieved in one scenario.
struct run_figures {
    std::string policy;
    std::vector<class_figures> classes;
    double goodput = 0;
    double wastedShare = 0;
    std::size_t crashesByOneRequest = 0;
    std::size_t inversions = 0;
    std::vector<violation> violations;
    std::uint64_t steps = 0;
};

run_figures measure(const virtual_world&, const std::string& policy);

} // namespace kumquat_bench
