#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <map>
#include <optional>
#include <set>

namespace kumquat {

// The running attempts that may be preempted, ordered by the cost of preempting them: the lowest tier first, then the fewest
// preemptions, then the latest start.
class preemption_candidates {
public:
    struct candidate {
        attempt_id attempt;
        std::uint32_t tierRank = 0;
        std::uint32_t preemptions = 0;
        instant startedAt;
    };

    void add(const candidate&);
    void remove(const attempt_id&);
    // Returns the candidate that is cheapest to preempt for an attempt of the given rank, or nothing if no candidate is of a
    // lower tier.
    std::optional<candidate> cheapestBelow(std::uint32_t tierRank) const;

private:
    struct by_preemption_cost {
        bool operator()(const candidate& left, const candidate& right) const;
    };

    std::set<candidate, by_preemption_cost> m_order;
    std::map<attempt_id, candidate> m_candidates;
};

} // namespace kumquat
