#include "servers/entry/expected_wait.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Output tokens per second of one request, assumed for an upstream that has not reported its rate.
    constexpr double assumedTokensPerSecond = 30;

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    // Returns the speed that routing assumes. A straggler counts with its speed weight times the service's median rate instead
    // of its own rate; the weight rises as the samples that made it a straggler grow old, so that it is tried again. Any other
    // upstream counts with its own rate, but with no more than its weight times the median rate.
    double tokensPerSecondOf(const upstream_state& upstream)
    {
        const double ownRate = upstream.speed.rate().value_or(assumedTokensPerSecond);
        if (upstream.medianServiceRate <= 0)
            return ownRate;
        const double creditedRate = upstream.medianServiceRate * upstream.speed.weight();
        return ownRate < stragglerRatio * upstream.medianServiceRate ? creditedRate : std::min(ownRate, creditedRate);
    }

} // namespace

upstream_load estimateLoad(const upstream_state& upstream, std::uint32_t tierRank, instant now)
{
    const auto& lastReport = *upstream.lastReport;
    upstream_load load;
    load.slots = std::max(1U, lastReport.slots);
    load.tokensPerSecond = tokensPerSecondOf(upstream);
    std::uint32_t running = 0;
    double reportedTokens = 0;
    for (const auto& tier : lastReport.tiers) {
        running += tier.running;
        load.requests += tier.running + tier.queued;
        reportedTokens += static_cast<double>(tier.expectedTokens);
        if (tier.rank <= tierRank) {
            load.tokensAhead += static_cast<double>(tier.expectedTokens);
            continue;
        }
        load.lowerTierQueued += tier.queued;
        load.lowerTierRunning += tier.running;
    }
    const double producedTokens = seconds(now - upstream.reportedAt) * load.tokensPerSecond * running;
    const double remainingFraction = reportedTokens > 0 ? std::max(0.0, 1 - producedTokens / reportedTokens) : 1;
    load.tokensAhead *= remainingFraction;
    load.requests *= remainingFraction;
    for (const auto& [rank, sent] : upstream.unreportedLoad) {
        load.requests += sent.requests;
        if (rank <= tierRank)
            load.tokensAhead += static_cast<double>(sent.tokens);
    }
    return load;
}

double expectedSeconds(const upstream_load& load, std::uint32_t expectedTokens)
{
    const double tokens = load.tokensAhead / load.slots + std::max(1U, expectedTokens);
    // Without a free slot even a request of the highest tier waits until a running one ends.
    const double slotWait = load.hasFreeSlot() ? 0 : expectedTokens / (load.tokensPerSecond * load.slots);
    return tokens / load.tokensPerSecond + slotWait;
}

} // namespace kumquat
