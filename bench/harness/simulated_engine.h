#pragma once

#include "bench/harness/caller_record.h"
#include "bench/harness/scenario.h"
#include "servers/sidecar/sidecar_event.h"

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace kumquat_bench {

// Simulates an inference engine in virtual time with continuous batching, chunked prefill and an LRU prefix cache.
// A run may resume after output tokens of an earlier attempt, and may be cancelled.
class simulated_engine {
public:
    explicit simulated_engine(engine_model);

    // Adds a run, which joins the batch at the next iteration. The first resumeTokens tokens of the answer are prefilled
    // instead of generated.
    void start(kumquat::run_id, caller_record&, std::uint32_t resumeTokens, instant now);
    void cancel(kumquat::run_id);
    // Stops the engine and drops the prefix cache. Returns the runs that were aborted.
    std::vector<kumquat::run_id> crash(instant now);
    // Makes the engine available again after a crash.
    void recover() { m_isUp = true; }
    // Multiplies the duration of the following iterations by the factor.
    void slowDown(double factor) { m_slowdown = factor; }

    bool isUp() const { return m_isUp; }
    std::size_t runningCount() const { return m_runs.size(); }
    // The end of the current iteration, or nothing while the engine is idle.
    std::optional<instant> iterationEnd() const { return m_iterationEnd; }

    struct iteration_outcome {
        std::vector<kumquat::sidecar_event> events;
        // The caller whose request crashes the engine in this iteration, or null.
        const caller_record* crashedBy = nullptr;
    };
    // Ends the current iteration and, unless a request crashes the engine, begins the next one.
    iteration_outcome finishIteration(instant now);

private:
    struct active_run {
        kumquat::run_id id = 0;
        caller_record* caller = nullptr;
        std::uint32_t remainingPrefill = 0;
        std::uint32_t nextToken = 0;
        std::uint32_t prefillInIteration = 0;
        bool isDecoding = false;
        bool sentHead = false;
        std::string pendingText;
        std::uint32_t pendingTokens = 0;
    };

    std::uint32_t prefillTokens(const caller_record&, std::uint32_t resumeTokens);
    void beginIteration(instant now);
    void decode(active_run&, std::vector<kumquat::sidecar_event>&);

    engine_model m_model;
    std::list<active_run> m_runs;
    // Hashes of the cached prompt prefixes, most recently used first.
    std::list<std::uint64_t> m_cachedPrefixes;
    std::optional<instant> m_iterationEnd;
    double m_slowdown = 1;
    bool m_isUp = true;
};

} // namespace kumquat_bench
