#pragma once

#include "bench/harness/caller_record.h"
#include "bench/harness/scenario.h"
#include "servers/sidecar/sidecar_event.h"

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

namespace kumquat_bench {

// A model engine in virtual time: continuous batching, chunked prefill, a small prefix cache, resume and cancel.
class fake_engine {
public:
    explicit fake_engine(engine_model);

    // Takes a call; the run joins the batch at the next iteration.
    void start(kumquat::run_id, caller_record&, std::uint32_t resumeTokens, instant now);
    void cancel(kumquat::run_id);
    // Ends every run. Returns the runs that were cut off.
    std::vector<kumquat::run_id> crash(instant now);
    void recover() { m_isUp = true; }
    // Iterations take this many times as long.
    void slowDown(double factor) { m_slowdown = factor; }

    bool isUp() const { return m_isUp; }
    std::size_t runningCount() const { return m_runs.size(); }
    // When the current iteration ends, or nothing while idle.
    std::optional<instant> iterationEnd() const { return m_iterationEnd; }

    struct iteration_outcome {
        std::vector<kumquat::sidecar_event> events;
        // The caller whose request crashed the engine in this iteration.
        const caller_record* crashedBy = nullptr;
    };
    // Ends the current iteration and begins the next.
    iteration_outcome finishIteration(instant now);

private:
    struct active_run {
        kumquat::run_id id = 0;
        caller_record* caller = nullptr;
        std::uint32_t prefillLeft = 0;
        std::uint32_t nextToken = 0;
        std::uint32_t prefillInIteration = 0;
        bool decodes = false;
        bool begun = false;
        std::string pendingText;
        std::uint32_t pendingTokens = 0;
    };

    std::uint32_t prefillTokens(const caller_record&, std::uint32_t resumeTokens);
    void beginIteration(instant now);
    void decode(active_run&, std::vector<kumquat::sidecar_event>&);

    engine_model m_model;
    std::list<active_run> m_runs;
    // Most recently used first.
    std::list<std::uint64_t> m_cachedPrefixes;
    std::optional<instant> m_iterationEnd;
    double m_slowdown = 1;
    bool m_isUp = true;
};

} // namespace kumquat_bench
