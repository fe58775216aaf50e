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

// What must hold in every run, whatever fails.
enum class invariant {
    exactly_one_end,
    own_whole_text,
    truthful_not_run,
    runs_at_most_once,
    nothing_new_while_leaving,
    drain_cuts_nothing,
    no_inversion,
    timers_make_progress,
};

const char* toString(invariant);

struct violation {
    invariant broken = invariant::exactly_one_end;
    instant at;
    std::string detail;
};

// Watches a virtual world and records each broken invariant.
class invariant_checks {
public:
    // Finds the caller behind a request identifier, or null.
    using caller_lookup = std::function<const caller_record*(const std::string& requestId)>;

    explicit invariant_checks(caller_lookup);

    // An upstream received a call.
    void runStarted(caller_record&, instant now);
    // A sidecar decided to call its upstream.
    void runDecided(const std::string& sidecar, std::optional<instant> leavingSince, instant now);
    void textReceived(caller_record&, const std::string& text, instant now);
    void answerFinished(caller_record&, instant now);
    void answerFailed(caller_record&, const kumquat::caller_error&, instant now);
    void stillOpen(const caller_record&, instant now);
    void stoppedAfterDrain(const std::string& sidecar, std::size_t running, instant now);
    // A reducer asks for a timer again and again at one instant.
    void timerSpins(const std::string& process, instant now);
    // A sidecar refused an attempt for lack of room or time, while others were live.
    void shed(const kumquat::sidecar_reducer&, const std::set<kumquat::attempt_id>& live, const std::string& requestId, kumquat::error_code reason, instant now);

    const std::vector<violation>& violations() const { return m_violations; }
    std::size_t count(invariant) const;

private:
    bool endOnce(caller_record&, caller_end, instant now);
    void record(invariant, instant now, std::string detail);

    caller_lookup m_findCaller;
    std::vector<violation> m_violations;
    std::map<invariant, std::size_t> m_counts;
};

} // namespace kumquat_bench
