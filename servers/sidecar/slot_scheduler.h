#pragma once

#include "servers/sidecar/admission_queue.h"
#include "servers/sidecar/concurrency_limit.h"
#include "servers/sidecar/crash_suspects.h"
#include "servers/sidecar/preemption_candidates.h"
#include "servers/sidecar/run_statistics.h"
#include "servers/sidecar/schedule_action.h"
#include "servers/sidecar/scheduling_invariants.h"
#include "servers/sidecar/sidecar_options.h"
#include "servers/sidecar/tier_load_counter.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace kumquat {

// Schedules the attempts on the slots of one upstream: admission, order, shedding, preemption and the concurrency limit.
// Has the scheduling properties of attempts but not their contents, which the reducer owns. The reducer executes the
// returned actions.
class slot_scheduler {
public:
    // How a run ended.
    enum class run_end { finished,
        failed,
        connection_broke,
        cancelled };

    explicit slot_scheduler(const sidecar_options&);
    // Members refer to each other.
    slot_scheduler(const slot_scheduler&) = delete;
    slot_scheduler& operator=(const slot_scheduler&) = delete;

    // Admits an arrival: it is queued, started or dropped, according to the actions.
    void submit(const offer&, instant now, schedule_actions&);
    // Starts waiting attempts in the free slots, preempts for attempts that have become urgent, and drops attempts whose
    // deadline has passed. Must be called after every event.
    void fillSlots(instant now, schedule_actions&);
    // Refuses every waiting attempt that never ran.
    void refuseUnstarted(error_code reason, const std::string& message, instant now, schedule_actions&);
    // Removes a waiting attempt that its entry has withdrawn or whose entry has failed.
    void withdraw(const attempt_id&, instant now);

    // Records output of a running attempt.
    void recordOutput(const attempt_id&, std::uint32_t tokens, instant now);
    // Records that a run has ended and frees its slot.
    void recordEnd(const attempt_id&, run_end, instant now);
    // Removes the invariant record of an attempt whose tombstone has been removed.
    void removeRecord(const attempt_id& attempt) { m_invariants.removeAttempt(attempt); }
    // Records that an attempt was withdrawn before its offer arrived, so it must never run.
    void recordUnstartedWithdrawal(const attempt_id& attempt) { m_invariants.recordEnd(attempt); }
    // Records a change of the upstream's health. When it becomes unhealthy, all waiting attempts are dropped.
    void setHealthy(bool, instant now, schedule_actions&);
    void adopt(document_ptr contents) { m_classLookup.adopt(std::move(contents)); }

    std::optional<instant> nextDeadline() const;
    std::uint64_t generation() const { return m_classLookup.generation(); }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t queuedCount() const { return m_queue.size(); }
    // Number of slots that the upstream can use within the between-token targets. The baselines use all configured slots.
    std::uint32_t usableSlots() const;
    std::vector<tier_load> load() const { return m_tierLoads.tiers(); }
    const run_statistics& statistics() const { return m_statistics; }
    const crash_suspects& suspects() const { return m_suspects; }
    const scheduling_invariants& invariants() const { return m_invariants; }

private:
    // The scheduling state of an attempt that waits or runs.
    struct scheduled_attempt {
        // The properties with which the attempt was last queued. They remain valid while it runs.
        queued_attempt queueItem;
        service_kind kind = service_kind::engine;
        bool repeatable = true;
        std::optional<std::chrono::milliseconds> betweenTokens;
        bool lateIsUseless = false;
        // When the request times out, regardless of its latency targets.
        instant deadline;
        std::uint32_t expectedTokens = 0;
        // Expected tokens that have not been produced and still count in the reported load.
        std::uint32_t remainingTokens = 0;
        std::uint32_t producedTokens = 0;
        // Tokens that the organisation has been charged so far.
        double chargedTokens = 0;
        std::uint32_t preemptions = 0;
        bool guaranteed = false;
        instant startedAt;
        std::optional<instant> lastOutputAt;
        // Tokens and time since the last latency sample.
        std::uint32_t sampleTokens = 0;
        duration sampleTime { 0 };
        // Total time of the runs before the last preemption.
        duration earlierSlotTime { 0 };
    };

    bool isFair() const { return std::holds_alternative<fair_scheduling>(m_options.policy); }
    scheduled_attempt makeScheduledAttempt(const offer&, instant now) const;
    void setTargets(scheduled_attempt&, const request_class&, instant arrived) const;
    void handlePredictedMiss(const attempt_id&, duration predicted, instant now, schedule_actions&);
    // Makes a place in the queue for an arrival if it is full: drops a waiting attempt, or starts one in a slot that is opened
    // for the arrival. Returns whether there is a place.
    bool ensureQueueCapacityFor(const queued_attempt& arrival, instant now, schedule_actions&);
    // Refuses an attempt that never ran, for lack of capacity.
    void shed(const queued_attempt&, scheduling_invariants::shed_cause, drop_attempt, schedule_actions&);
    void dropWaiting(const queued_attempt&, drop_attempt, schedule_actions&);
    void dropExpired(instant now, schedule_actions&);
    void refuseCrashingRequest(const queued_attempt&, instant now, schedule_actions&);
    void removeWaiting(const attempt_id&);
    void startUrgentAttempts(instant now, schedule_actions&);
    // Starts an attempt that would otherwise miss its first-token target, beyond the concurrency limit or by preempting
    // lower tiers, if either is possible.
    void startUrgent(const queued_attempt&, instant now, schedule_actions&);
    // Makes a slot usable for the attempt by exceeding the concurrency limit or by preempting a lower tier. Returns whether
    // either was possible.
    bool openSlotFor(const queued_attempt&, instant now, schedule_actions&);
    bool mayExceedLimit(const queued_attempt&) const;
    // Discards the due preemption times of waiting attempts if a slot is free or the upstream is unhealthy. Only suspects
    // wait beside a free slot, and preempting helps neither them nor anyone while the upstream is unhealthy. Without this
    // nextDeadline() would stay in the past and the process would run in a busy loop.
    void discardDueUrgency(instant now);
    void preempt(const preemption_candidates::candidate&, std::uint32_t preemptorRank, instant now, schedule_actions&);
    bool startNext(slot_cause, instant now, schedule_actions&);
    void begin(const popped_attempt&, instant now, schedule_actions&);
    bool isPreemptible(const scheduled_attempt&) const;
    void releaseSlot(const scheduled_attempt&, instant now);
    void recordTokenLatency(scheduled_attempt&, std::uint32_t tokens, instant now);
    void submitLatencySample(scheduled_attempt&, std::uint32_t minTokens, instant now);
    // Refuses the waiting attempts whose fingerprints are refused, and marks those whose fingerprints are suspects.
    void applySuspects(instant now, schedule_actions&);
    static double expectedEndRate(const scheduled_attempt&);
    // Returns the predicted time until an arrival starts, or zero if a slot is free or there are no estimates.
    duration predictedWait(const queued_attempt& arrival) const;
    std::chrono::milliseconds retryAfter(duration wait) const;

    const sidecar_options m_options;
    class_lookup m_classLookup;
    admission_queue m_queue;
    concurrency_limit m_limit;
    run_statistics m_statistics;
    crash_suspects m_suspects;
    preemption_candidates m_candidates;
    tier_load_counter m_tierLoads;
    scheduling_invariants m_invariants;
    std::map<attempt_id, scheduled_attempt> m_attempts;
    // Attempts that occupy a slot, and the expected total rate at which they end.
    std::set<attempt_id> m_running;
    double m_expectedEndsPerSecond = 0;
    bool m_healthy = true;
    std::uint64_t m_appliedSuspectsVersion = 0;
};

} // namespace kumquat
