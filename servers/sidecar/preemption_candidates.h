#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <map>
#include <optional>
#include <set>

namespace kumquat {

// Running attempts that may be preempted, least loss first: lowest tier, fewest preemptions, youngest.
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
    // Returns the attempt to preempt for one of the given rank, or nothing when no lower one runs.
    std::optional<candidate> below(std::uint32_t tierRank) const;

private:
    struct by_loss {
        bool operator()(const candidate& left, const candidate& right) const;
    };

    std::set<candidate, by_loss> m_order;
    std::map<attempt_id, candidate> m_candidates;
};

} // namespace kumquat
