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

// An attempt that leaves the queue to run.
struct popped_attempt {
    queued_attempt attempt;
    // Whether it runs by the guaranteed share of its class.
    bool guaranteed = false;
};

// Why a slot is being filled.
enum class slot_cause { freed,
    preempted };

// Holds the attempts that wait for a slot. The policy decides their order and who is displaced.
class admission_queue {
public:
    admission_queue(const scheduling_policy&, const class_terms_source&, duration starvationLimit);

    void push(queued_attempt, instant now);
    // Removes and returns the attempt that runs next, or nothing when none may run. While a suspect runs, other suspects
    // are passed over.
    std::optional<popped_attempt> popNext(slot_cause, bool suspectRuns, instant now);
    // Removes and returns a waiting attempt that starts out of its turn.
    std::optional<queued_attempt> popOne(const attempt_id&, instant now);
    // Removes and returns one attempt that yields its place to an arrival: the lowest-tier, youngest one below the given
    // rank, else one of the same tier whose organisation has more waiting.
    std::optional<queued_attempt> displaceFor(const queued_attempt& arrival, instant now);
    // Removes and returns the attempt if it was waiting.
    std::optional<queued_attempt> remove(const attempt_id&, instant now);
    // Removes and returns every attempt whose deadline has passed.
    std::vector<queued_attempt> removeExpired(instant now);
    // Removes and returns the attempts that the predicate selects, in the order of tiers. Costs the length of the queue.
    std::vector<queued_attempt> removeIf(const std::function<bool(const queued_attempt&)>&, instant now);
    // Returns an attempt whose time to preempt for it has come, once.
    std::optional<attempt_id> popUrgent(instant now) { return m_urgent.popDue(now); }

    // Corrects what an organisation was charged for a running attempt.
    void charge(std::uint32_t tierRank, const std::string& organisation, double tokens);
    // Reports that an attempt which had left the queue to run has ended.
    void ended(std::uint32_t tierRank, const std::string& organisation);

    std::size_t size() const { return m_waiting.size(); }
    std::size_t unstartedCount() const { return m_unstarted.size(); }
    // Returns null unless the attempt waits.
    const queued_attempt* find(const attempt_id&) const;
    // Whether an attempt of a higher tier than the given rank waits.
    bool hasAbove(std::uint32_t tierRank) const { return !m_byTier.empty() && (*m_byTier.begin())->tierRank < tierRank; }
    std::optional<instant> nextDeadline() const;
    // Returns the time of slots that is taken by what would run before an arrival.
    duration runAhead(const queued_attempt& arrival) const;

private:
    queued_attempt take(const attempt_id&, instant now);
    queue_choice choose(slot_cause, instant now);
    void park(const queued_attempt&, instant now);
    void unparkOne(instant now);

    scheduling_policy m_policy;
    std::variant<tiered_queue, fifo_queue, inverted_queue, fair_queue> m_order;
    std::map<attempt_id, queued_attempt> m_waiting;
    std::set<const queued_attempt*, by_tier> m_byTier;
    // Attempts that have never run, which may therefore be refused.
    std::set<const queued_attempt*, by_tier> m_unstarted;
    // Suspects that wait until no other suspect runs; they are in no policy's order meanwhile.
    std::set<const queued_attempt*, by_tier> m_parked;
    // Suspects that are in the policy's order.
    std::set<const queued_attempt*, by_tier> m_orderedSuspects;
    timer_queue<attempt_id> m_deadlines;
    timer_queue<attempt_id> m_urgent;
    std::uint64_t m_nextSequence = 1;
};

} // namespace kumquat
