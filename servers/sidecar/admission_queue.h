#pragma once

#include "core/timer_queue.h"
#include "servers/sidecar/fifo_queue.h"
#include "servers/sidecar/scheduling_policy.h"
#include "servers/sidecar/tiered_queue.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace kumquat {

// Holds the attempts that wait for a slot. The policy decides their order and who is displaced.
class admission_queue {
public:
    explicit admission_queue(const scheduling_policy&);

    void push(queued_attempt);
    // Removes and returns the attempt that runs next, or nothing when none waits.
    std::optional<queued_attempt> popNext(instant now);
    // Removes and returns the lowest-tier, youngest attempt below the given rank, to make room for a higher arrival.
    std::optional<queued_attempt> displaceBelow(std::uint32_t tierRank);
    // Removes and returns the attempt if it was waiting.
    std::optional<queued_attempt> remove(const attempt_id&);
    // Removes and returns every attempt whose deadline has passed.
    std::vector<queued_attempt> removeExpired(instant now);
    std::vector<queued_attempt> removeAll();

    std::size_t size() const { return m_waiting.size(); }
    std::optional<instant> nextDeadline() const { return m_deadlines.nextDeadline(); }

private:
    queued_attempt take(const attempt_id&);

    scheduling_policy m_policy;
    std::variant<tiered_queue, fifo_queue, inverted_queue> m_order;
    std::map<attempt_id, queued_attempt> m_waiting;
    // Attempts that have never run, which may therefore be refused.
    std::set<const queued_attempt*, by_tier> m_displaceable;
    timer_queue<attempt_id> m_deadlines;
    std::uint64_t m_nextSequence = 1;
};

} // namespace kumquat
