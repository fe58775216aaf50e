#pragma once

#include "core/timer_queue.h"
#include "servers/sidecar/fair_queue.h"
#include "servers/sidecar/fifo_queue.h"
#include "servers/sidecar/scheduling_policy.h"
#include "servers/sidecar/tiered_queue.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace kumquat {

// An attempt that has been removed from the queue in order to start.
struct popped_attempt {
    queued_attempt attempt;
    // Whether it starts by the guaranteed share of its class instead of by the order of tiers.
    bool guaranteed = false;
};

// Why a slot is available: a run ended or the concurrency limit rose, or a running attempt was preempted.
enum class slot_cause { freed,
    preempted };

// Stores the attempts that wait for a slot. The scheduling policy decides which one starts next and which one a full queue
// drops for a new arrival.
class admission_queue {
public:
    admission_queue(const scheduling_policy&, const class_lookup&, const guaranteed_share::options&);

    // Adds an arrival, or a preempted attempt at its previous position in the order of arrival.
    void push(queued_attempt, instant now);
    // Removes and returns the attempt that starts next, or nothing when none may start. While a suspect runs, other
    // suspects are skipped.
    std::optional<popped_attempt> popNext(slot_cause, bool isSuspectRunning, instant now);
    // Removes and returns the given attempt, which starts before those that precede it in the policy's order, or nothing if
    // it does not wait.
    std::optional<queued_attempt> popOutOfTurn(const attempt_id&, instant now);
    // Removes and returns one never-started attempt that is dropped for an arrival, or nothing when no attempt has to yield
    // to it: the youngest attempt of the lowest tier if that tier is below the arrival's, else, under fair_scheduling, one of
    // the same tier whose organisation has more attempts waiting. Under fifo_scheduling no attempt yields.
    std::optional<queued_attempt> displaceFor(const queued_attempt& arrival, instant now);
    // Removes and returns the attempt, or returns nothing if it does not wait.
    std::optional<queued_attempt> remove(const attempt_id&, instant now);
    // Removes and returns every attempt whose deadline has passed.
    std::vector<queued_attempt> removeExpired(instant now);
    // Removes and returns the attempts that the predicate selects, in the order of tiers. Takes time linear in the length
    // of the queue.
    std::vector<queued_attempt> removeIf(const std::function<bool(const queued_attempt&)>&, instant now);
    // Returns an attempt whose urgentAt has passed, or nothing. Each attempt is returned at most once.
    std::optional<attempt_id> popDueUrgent(instant now) { return m_urgent.popDue(now); }

    // Adds tokens to what an organisation was charged for a running attempt; negative values are refunds.
    void charge(std::uint32_t tierRank, const std::string& organisation, double tokens);
    // Records that an attempt which had been removed in order to start has left its slot.
    void recordEnd(const queued_attempt&, instant now);

    std::size_t size() const { return m_waiting.size(); }
    std::size_t unstartedCount() const { return m_unstarted.size(); }
    // Returns the waiting attempt, or null if it does not wait.
    const queued_attempt* find(const attempt_id&) const;
    // Whether an attempt of a higher tier (a smaller rank) waits.
    bool hasHigherTier(std::uint32_t tierRank) const { return !m_byTier.empty() && (*m_byTier.begin())->tierRank < tierRank; }
    std::optional<instant> nextDeadline() const;
    // Estimates how many waiting attempts would start before the arrival. All policies other than fair_scheduling count the
    // whole queue.
    std::size_t countBefore(const queued_attempt& arrival) const;

private:
    queued_attempt extract(const attempt_id&, instant now);
    queue_choice selectNext(slot_cause, instant now);
    void deferSuspect(const queued_attempt&, instant now);
    void requeueDeferredSuspect(instant now);

    scheduling_policy m_policy;
    std::variant<tiered_queue, fifo_queue, inverted_queue, fair_queue> m_order;
    std::map<attempt_id, queued_attempt> m_waiting;
    std::set<const queued_attempt*, by_tier> m_byTier;
    // Attempts that have never run. Only these may be refused.
    std::set<const queued_attempt*, by_tier> m_unstarted;
    // Suspects that were skipped because another suspect ran. They are not in m_order until no suspect runs.
    std::set<const queued_attempt*, by_tier> m_deferredSuspects;
    // Suspects that are in m_order.
    std::set<const queued_attempt*, by_tier> m_orderedSuspects;
    timer_queue<attempt_id> m_deadlines;
    timer_queue<attempt_id> m_urgent;
    std::uint64_t m_nextSequence = 1;
};

} // namespace kumquat
