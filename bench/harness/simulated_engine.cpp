#include "bench/harness/simulated_engine.h"

#include "bench/harness/answer_text.h"

#include <algorithm>

namespace kumquat_bench {

using namespace kumquat;

simulated_engine::simulated_engine(engine_model model)
    : m_model(model)
{
}

std::uint32_t simulated_engine::prefillTokens(const caller_record& caller, std::uint32_t resumeTokens)
{
    const auto cached = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), caller.sharedPrefixHash);
    const bool isHit = cached != m_cachedPrefixes.end();
    if (isHit)
        m_cachedPrefixes.erase(cached);
    m_cachedPrefixes.push_front(caller.sharedPrefixHash);
    if (m_cachedPrefixes.size() > m_model.maxCachedPrefixes)
        m_cachedPrefixes.pop_back();
    const auto& profile = *caller.profile;
    return profile.promptTokens - (isHit ? profile.sharedPromptTokens : 0) + resumeTokens;
}

void simulated_engine::start(run_id id, caller_record& caller, std::uint32_t resumeTokens, instant now)
{
    active_run run;
    run.id = id;
    run.caller = &caller;
    // Even a fully cached prompt needs one iteration of prefill.
    run.remainingPrefill = std::max(1U, prefillTokens(caller, resumeTokens));
    run.nextToken = resumeTokens;
    m_runs.push_back(std::move(run));
    if (!m_iterationEnd)
        beginIteration(now);
}

void simulated_engine::cancel(run_id id)
{
    m_runs.remove_if([&](const auto& run) { return run.id == id; });
}

std::vector<run_id> simulated_engine::crash(instant)
{
    std::vector<run_id> abortedRuns;
    for (const auto& run : m_runs)
        abortedRuns.push_back(run.id);
    m_runs.clear();
    m_cachedPrefixes.clear();
    m_iterationEnd.reset();
    m_isUp = false;
    return abortedRuns;
}

void simulated_engine::beginIteration(instant now)
{
    m_iterationEnd.reset();
    if (m_runs.empty())
        return;
    std::uint32_t decodingCount = 0;
    std::uint32_t prefilledTokens = 0;
    for (auto& run : m_runs) {
        run.isDecoding = run.remainingPrefill == 0;
        decodingCount += run.isDecoding ? 1 : 0;
        run.prefillInIteration = std::min(run.remainingPrefill, m_model.prefillTokensPerIteration - prefilledTokens);
        prefilledTokens += run.prefillInIteration;
    }
    const std::chrono::duration<double> prefillTime(prefilledTokens / m_model.prefillTokensPerSecond);
    const auto iterationTime = m_model.iterationBaseTime + m_model.iterationTimePerRequest * decodingCount + prefillTime;
    m_iterationEnd = now + std::chrono::duration_cast<duration>(iterationTime * m_slowdown);
}

void simulated_engine::decode(active_run& run, std::vector<sidecar_event>& events)
{
    auto& caller = *run.caller;
    if (!run.sentHead) {
        run.sentHead = true;
        events.emplace_back(run_head { run.id, 200, "text/event-stream" });
    }
    // The first token is sent alone, so that the time to first token does not depend on the chunk size.
    const bool isFirst = run.pendingTokens == 0 && run.nextToken == 0;
    if (run.nextToken < caller.answerTokens) {
        run.pendingText += answerToken(caller.bodyHash, run.nextToken++);
        run.pendingTokens++;
        caller.computedTokens++;
    }
    const bool isLast = run.nextToken >= caller.answerTokens;
    if (run.pendingTokens > 0 && (isFirst || isLast || run.pendingTokens >= caller.profile->tokensPerChunk)) {
        events.emplace_back(run_output { run.id, std::move(run.pendingText), run.pendingTokens });
        run.pendingText.clear();
        run.pendingTokens = 0;
    }
    if (isLast)
        events.emplace_back(run_finished { run.id, "stop", caller.profile->promptTokens });
}

simulated_engine::iteration_outcome simulated_engine::finishIteration(instant now)
{
    iteration_outcome outcome;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        run->remainingPrefill -= run->prefillInIteration;
        run->prefillInIteration = 0;
        if (run->isDecoding && run->caller->crashesEngine) {
            outcome.crashedBy = run->caller;
            return outcome;
        }
        if (run->isDecoding)
            decode(*run, outcome.events);
        const bool isDone = run->isDecoding && run->nextToken >= run->caller->answerTokens;
        run = isDone ? m_runs.erase(run) : std::next(run);
    }
    beginIteration(now);
    return outcome;
}

} // namespace kumquat_bench
