#pragma once

#include "bench/harness/scenario.h"
#include "core/result.h"

#include <string>
#include <vector>

namespace kumquat_bench {

// Reads the scenarios of a file; paths of documents in it are relative to the given folder.
kumquat::result<std::vector<scenario>> loadScenarios(const std::string& path, const std::string& sourceFolder);

// Targets that the product is held to. Each comes from a stated target, never from a measured figure.
struct bench_bounds {
    double topTierAttainment = 0;
    std::chrono::seconds longestDrought { 0 };
    std::size_t inversions = 0;
    double goodputOfBaselines = 0;
    double wastedShare = 0;
    std::size_t upstreamsLostToOneRequest = 0;
    double letterAttainment = 0;
};

kumquat::result<bench_bounds> loadBounds(const std::string& path);

} // namespace kumquat_bench
