#include "bench/harness/scenario.h"

#include <algorithm>
#include <cstdlib>

namespace kumquat_bench {

const traffic_profile& deployment::profileOf(const std::string& className) const
{
    const auto found = std::find_if(profiles.begin(), profiles.end(), [&](const auto& profile) { return profile.className == className; });
    if (found == profiles.end())
        std::abort();
    return *found;
}

std::vector<compared_policy> comparedPolicies()
{
    return {
        { "round-robin+fifo", kumquat::round_robin_routing {}, kumquat::fifo_scheduling {} },
        { "least-loaded+priority", kumquat::least_loaded_routing {}, kumquat::priority_scheduling {} },
        { "product", kumquat::expected_wait_routing {}, kumquat::fair_scheduling {} },
    };
}

double engineCapacity(const engine_model& engine, const traffic_profile& profile, duration betweenTokens)
{
    const auto seconds = [](duration span) { return std::chrono::duration<double>(span).count(); };
    // With n requests decoding, one token of each takes base + n * perRequest, where perRequest includes the prefill time
    // of new requests spread over the tokens of an answer.
    const double prefill = profile.promptTokens / engine.prefillTokensPerSecond;
    const double perRequest = seconds(engine.iterationTimePerRequest) + prefill / profile.meanAnswerTokens;
    const double batch = (seconds(betweenTokens) - seconds(engine.iterationBaseTime)) / perRequest;
    const double usedBatch = std::min<double>(batch, engine.maxBatchSize);
    return usedBatch / (profile.meanAnswerTokens * seconds(betweenTokens));
}

} // namespace kumquat_bench
