#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquat {

// An attempt that waits for a slot.
struct queued_attempt {
    attempt_id attempt;
    std::uint32_t tierRank = 0;
    std::string className;
    std::string organisation;
    std::uint32_t expectedTokens = 0;
    instant arrived;
    instant deadline;
};

// Orders waiting attempts: higher tiers first, first come first served inside a tier.
class admission_queue {
public:
    void push(queued_attempt);
    // Removes and returns the attempt that runs next, or nothing when none waits.
    std::optional<queued_attempt> popNext(instant now);
    // Removes and returns the lowest-tier, youngest attempt below the given rank, to make room for a higher arrival.
    std::optional<queued_attempt> displaceBelow(std::uint32_t tierRank);
    // Returns whether the attempt was waiting.
    bool remove(const attempt_id&);
    // Removes and returns every attempt whose deadline has passed.
    std::vector<queued_attempt> removeExpired(instant now);
    std::vector<queued_attempt> removeAll();

    std::size_t size() const { return m_positions.size(); }
    std::optional<instant> nextDeadline() const;
    // Adds the waiting work of each tier to the given loads.
    void addLoad(std::map<std::uint32_t, tier_load>&) const;

private:
    struct order_key {
        std::uint32_t tierRank = 0;
        std::uint64_t sequence = 0;
        auto operator<=>(const order_key&) const = default;
    };

    queued_attempt take(std::map<order_key, queued_attempt>::iterator);

    std::map<order_key, queued_attempt> m_waiting;
    std::map<attempt_id, order_key> m_positions;
    std::set<std::pair<instant, order_key>> m_deadlines;
    std::uint64_t m_nextSequence = 0;
};

} // namespace kumquat
