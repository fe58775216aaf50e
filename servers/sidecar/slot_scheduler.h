#pragma once

#include "servers/sidecar/admission_queue.h"
#include "servers/sidecar/concurrency_limit.h"
#include "servers/sidecar/crash_suspects.h"
#include "servers/sidecar/load_tally.h"
#include "servers/sidecar/preemption_candidates.h"
#include "servers/sidecar/run_estimator.h"
#include "servers/sidecar/schedule_action.h"
#include "servers/sidecar/scheduling_invariants.h"
#include "servers/sidecar/sidecar_options.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace kumquat {

// Decides which attempts occupy the slots of one upstream: admission, order, shedding, preemption and the number of
// slots. It knows attempts by name only; the reducer owns their contents and executes the actions.
class slot_scheduler {
public:
    // How a run ended.
    enum class run_end { finished,
        failed,
        connection_broke,
        cancelled };

    explicit slot_scheduler(const sidecar_options&);
    // The parts refer to each other.
    slot_scheduler(const slot_scheduler&) = delete;
    slot_scheduler& operator=(const slot_scheduler&) = delete;

    // Takes an arrival. It waits afterwards unless an action gives it up.
    void submit(const offer&, instant now, schedule_actions&);
    // Gives the free slots to waiting attempts, preempts for what has become urgent and gives up what has waited past its
    // time. Call after every event.
    void fill(instant now, schedule_actions&);
    // Gives up every waiting attempt that never ran.
    void refuseWaiting(error_code reason, const std::string& message, instant now, schedule_actions&);
    // Forgets a waiting attempt that nobody wants any more.
    void withdraw(const attempt_id&, instant now);

    void produced(const attempt_id&, std::uint32_t tokens, instant now);
    void ended(const attempt_id&, run_end, instant now);
    // The attempt's tombstone is dropped.
    void forgotten(const attempt_id& attempt) { m_invariants.forgotten(attempt); }
    // The attempt was closed before it was submitted, so it must never run.
    void closed(const attempt_id& attempt) { m_invariants.ended(attempt); }
    void setHealthy(bool, instant now, schedule_actions&);
    void adopt(document_ptr contents) { m_terms.adopt(std::move(contents)); }

    std::optional<instant> nextDeadline() const;
    std::uint64_t generation() const { return m_terms.generation(); }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t queuedCount() const { return m_queue.size(); }
    // Slots that the upstream can use within the between-token targets.
    std::uint32_t usableSlots() const;
    std::vector<tier_load> load() const { return m_load.tiers(); }
    const run_estimator& estimator() const { return m_estimator; }
    const crash_suspects& suspects() const { return m_suspects; }
    const scheduling_invariants& invariants() const { return m_invariants; }

private:
    // What the scheduler knows of an attempt that waits or runs, beside its place in the queue.
    struct scheduled_attempt {
        queued_attempt facts;
        service_kind kind = service_kind::engine;
        bool repeatable = true;
        std::optional<std::chrono::milliseconds> betweenTokens;
        bool lateIsUseless = false;
        // End of the request's time, whatever its targets.
        instant deadline;
        std::uint32_t expectedTokens = 0;
        // Expected tokens that still count in the load.
        std::uint32_t remainingTokens = 0;
        std::uint32_t producedTokens = 0;
        // Tokens that the organisation has been charged so far.
        double charged = 0;
        std::uint32_t preemptions = 0;
        bool guaranteed = false;
        instant startedAt;
        std::optional<instant> lastOutputAt;
        duration ranBefore { 0 };
    };

    bool isFair() const { return std::holds_alternative<fair_scheduling>(m_options.policy); }
    scheduled_attempt describe(const offer&, instant now) const;
    void setTargets(scheduled_attempt&, const request_class&, instant arrived) const;
    void avoidMiss(const attempt_id&, duration predicted, instant now, schedule_actions&);
    bool makeRoomFor(const queued_attempt& arrival, instant now, schedule_actions&);
    void shed(const queued_attempt&, scheduling_invariants::shed_cause, give_up_attempt, schedule_actions&);
    void giveUp(const queued_attempt&, give_up_attempt, schedule_actions&);
    void giveUpExpired(instant now, schedule_actions&);
    void refuseSuspected(const queued_attempt&, instant now, schedule_actions&);
    void forget(const attempt_id&);
    void preemptForUrgent(instant now, schedule_actions&);
    // Preempts lower streams until the attempt runs or none is left.
    void preemptFor(const queued_attempt&, instant now, schedule_actions&);
    void interrupt(const preemption_candidates::candidate&, std::uint32_t beneficiaryRank, instant now, schedule_actions&);
    bool fillOne(slot_cause, instant now, schedule_actions&);
    void begin(const popped_attempt&, instant now, schedule_actions&);
    bool mayPreempt(const scheduled_attempt&) const;
    void leaveSlot(const scheduled_attempt&);
    void observePace(const scheduled_attempt&, std::uint32_t tokens, instant now);
    // Applies what crashes have shown to the attempts that wait.
    void applySuspicions(instant now, schedule_actions&);
    // Returns the time until an arrival would start, or zero while nothing is known.
    duration predictedWait(const queued_attempt& arrival) const;
    std::chrono::milliseconds retryAfter(duration wait) const;

    const sidecar_options m_options;
    class_terms_source m_terms;
    admission_queue m_queue;
    concurrency_limit m_limit;
    run_estimator m_estimator;
    crash_suspects m_suspects;
    preemption_candidates m_candidates;
    load_tally m_load;
    scheduling_invariants m_invariants;
    std::map<attempt_id, scheduled_attempt> m_attempts;
    // Attempts that occupy a slot, and the time for which they are expected to, together.
    std::set<attempt_id> m_running;
    duration m_runningRun { 0 };
    bool m_healthy = true;
    std::uint64_t m_appliedSuspicions = 0;
};

} // namespace kumquat
