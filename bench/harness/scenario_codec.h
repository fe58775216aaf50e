#pragma once

#include "bench/harness/scenario.h"
#include "core/result.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// Loads the scenarios of a JSON file. Document paths in it are relative to sourceFolder. Returns an error if a file cannot
// be read, the JSON is malformed, or a deployment or fault is unknown.
kumquat::result<std::vector<scenario>> loadScenarios(const std::string& path, const std::string& sourceFolder);

// The limits that the product's policy must meet in every scenario. Each is a stated target, not a measured value.
struct bench_bounds {
    // Minimum fraction of top-tier requests that meet the targets of their class.
    double minTopTierAttainment = 0;
    // Maximum time in which a class has work waiting and no completion.
    std::chrono::seconds maxStarvation { 0 };
    std::size_t maxInversions = 0;
    // Minimum goodput relative to the goodput of each compared policy.
    double minGoodputRatio = 0;
    // The fraction of generated tokens that are in no complete answer must be below this value.
    double maxWastedShare = 0;
    std::size_t maxUpstreamsLostToOneRequest = 0;
    // Minimum fraction of top-tier requests that meet letterFirstTokenTarget and letterBetweenTokensTarget.
    double minLetterAttainment = 0;
};

// Loads the bounds from a JSON file. Returns an error if the file cannot be read or a bound is missing.
kumquat::result<bench_bounds> loadBounds(const std::string& path);

} // namespace kumquat_bench
