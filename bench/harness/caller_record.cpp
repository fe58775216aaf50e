#include "bench/harness/caller_record.h"

#include "bench/harness/answer_text.h"

namespace kumquat_bench {

std::size_t caller_record::answerBytes() const
{
    return isPlain() ? bytesPerToken : answerTokens * bytesPerToken;
}

std::chrono::duration<double> caller_record::betweenTokens() const
{
    if (!firstTokenAt || answerTokens < 2)
        return std::chrono::duration<double>::zero();
    return std::chrono::duration<double>(lastTokenAt - *firstTokenAt) / (answerTokens - 1);
}

bool caller_record::meetsTargets() const
{
    if (outcome != caller_outcome::answered)
        return false;
    const auto& targets = requestClass->targets;
    if (targets.firstToken && wait() > *targets.firstToken)
        return false;
    if (targets.betweenTokens && betweenTokens() > *targets.betweenTokens)
        return false;
    return !targets.total || endedAt - arrival <= *targets.total;
}

duration caller_record::wait() const
{
    return firstTokenAt.value_or(endedAt) - arrival;
}

} // namespace kumquat_bench
