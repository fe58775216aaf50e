#include "servers/load/load_outcome.h"

namespace kumquat {

namespace {

    bool isWithin(std::optional<std::chrono::microseconds> measured, std::optional<std::chrono::milliseconds> target)
    {
        if (!target || !measured)
            return true;
        return *measured <= *target;
    }

    // Mean time between tokens after the first one.
    std::optional<std::chrono::microseconds> betweenTokens(const load_outcome& outcome)
    {
        if (!outcome.firstToken || outcome.tokens < 2)
            return std::nullopt;
        return (outcome.total - *outcome.firstToken) / (outcome.tokens - 1);
    }

} // namespace

bool meetsTargets(const load_outcome& outcome, const latency_targets& targets)
{
    if (outcome.result != load_result::complete)
        return false;
    if (!isWithin(outcome.firstToken, targets.firstToken))
        return false;
    if (!isWithin(betweenTokens(outcome), targets.betweenTokens))
        return false;
    return isWithin(outcome.total, targets.total);
}

} // namespace kumquat
