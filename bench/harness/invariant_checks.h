#pragma once

#include "bench/harness/caller_record.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat_bench {

// Properties that must hold in every simulated run under any faults.
enum class invariant {
    // Every caller receives exactly one final result.
    exactly_one_end,
    // An answered caller receives the complete expected answer in order.
    complete_own_answer,
    // A request that failed with the statement that it has not run reaches no upstream, neither before nor afterwards.
    accurate_not_run,
    // A request that is not repeatable reaches upstreams at most once.
    runs_at_most_once,
    // A draining sidecar starts no runs after a short grace period.
    no_new_work_while_leaving,
    // A drained sidecar stops only after its runs have finished.
    drain_completes_runs,
    // No attempt is shed while a lower tier occupies the capacity that it needs.
    no_tier_inversion,
    // A reducer does not keep requesting timers without time advancing.
    timers_make_progress,
};

// Returns the description that the bench writes into its output.
const char* toString(invariant);

// One observed violation of an invariant, with the virtual time and a description.
struct violation {
    invariant violated = invariant::exactly_one_end;
    instant at;
    std::string detail;
};

// Checks the events of a simulation against the invariants and records each violation.
class invariant_checks {
public:
    // Returns the caller of a request, or null if the request is unknown.
    using caller_lookup = std::function<const caller_record*(const std::string& requestId)>;

    explicit invariant_checks(caller_lookup);

    // A call reached an upstream.
    void runStarted(caller_record&, instant now);
    // A sidecar reducer requested a call of its upstream. leavingSince is the time of the drain request, if any.
    void runRequested(const std::string& sidecar, std::optional<instant> leavingSince, instant now);
    void textReceived(caller_record&, const std::string& text, instant now);
    void answerFinished(caller_record&, instant now);
    void answerFailed(caller_record&, const kumquat::caller_error&, instant now);
    // The simulation ended while the caller was waiting for its answer.
    void neverEnded(const caller_record&, instant now);
    // A drained sidecar stopped with the given number of runs.
    void stoppedAfterDrain(const std::string& sidecar, std::size_t running, instant now);
    // A reducer keeps requesting timers that are already due, so that time does not advance.
    void timerLoopDetected(const std::string& process, instant now);
    // A sidecar refused an attempt because its queue was full or the deadline could not be met, while the given other
    // attempts were open.
    void attemptShed(const kumquat::sidecar_reducer&, const std::set<kumquat::attempt_id>& openAttempts, const std::string& requestId, kumquat::error_code reason, instant now);

    // The first violations in order of occurrence; count() includes those that are not stored.
    const std::vector<violation>& violations() const { return m_violations; }
    std::size_t count(invariant) const;

private:
    // Stores the first result of a caller and reports any further one. Returns whether the result was stored.
    bool recordOutcome(caller_record&, caller_outcome, instant now);
    void record(invariant, instant now, std::string detail);

    caller_lookup m_findCaller;
    std::vector<violation> m_violations;
    std::map<invariant, std::size_t> m_counts;
};

} // namespace kumquat_bench
