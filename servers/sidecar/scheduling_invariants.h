#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

// Detects scheduler decisions that must never occur, from its own record of the attempts:
// - shedding an attempt while an attempt of a lower tier is queued in a full queue, or runs and may be preempted;
// - preempting for an attempt that is not of a higher tier, or while an attempt of a lower tier could be preempted instead;
// - starting an attempt while one of a higher tier waits, except by the guaranteed share;
// - starting an attempt twice without a preemption in between, or at all after it was refused or withdrawn.
// Each call takes time logarithmic in the number of attempts. The first 16 violations are stored as texts, all are counted.
class scheduling_invariants {
public:
    // Why an attempt that never ran was refused.
    enum class shed_cause { queue_full,
        target_unreachable,
        other };
    enum class start_cause { in_order,
        guaranteed_share };

    // Rules about the order of tiers are not checked for fifo_scheduling, which ignores tiers.
    explicit scheduling_invariants(bool checkTiers)
        : m_checkTiers(checkTiers)
    {
    }

    // Records that an attempt waits. A waiting suspect may be skipped, so starts of lower tiers before it are no violation.
    void recordQueued(const attempt_id&, std::uint32_t tierRank, bool suspect);
    // Records that a waiting attempt has become a suspect.
    void recordSuspect(const attempt_id&);
    // Records that an arrival or a waiting attempt that never ran is refused.
    void recordShed(const attempt_id&, std::uint32_t tierRank, shed_cause);
    void recordStart(const attempt_id&, std::uint32_t tierRank, start_cause, bool preemptible, bool resumes);
    void recordPreemption(const attempt_id& victim, std::uint32_t preemptorRank);
    void recordEnd(const attempt_id&);
    // Removes the record of an attempt whose tombstone has been removed.
    void removeAttempt(const attempt_id&);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t violationCount() const { return m_violationCount; }

private:
    enum class attempt_phase { arrived,
        queued,
        running,
        preempted,
        ended };

    struct tracked_attempt {
        attempt_phase state = attempt_phase::arrived;
        std::uint32_t tierRank = 0;
        bool preemptible = false;
        bool suspect = false;
        std::uint32_t starts = 0;
        std::uint32_t preemptions = 0;
        // Whether it was refused or withdrawn, or has ended. It must not start again.
        bool closed = false;
    };

    using tier_counts = std::map<std::uint32_t, std::uint32_t>;

    void removeFromCounts(tracked_attempt&);
    void addViolation(const attempt_id&, const std::string& text);
    static bool hasLowerTier(const tier_counts&, std::uint32_t tierRank);
    static bool hasHigherTier(const tier_counts&, std::uint32_t tierRank);

    bool m_checkTiers;
    std::map<attempt_id, tracked_attempt> m_attempts;
    // Numbers of attempts by tier: waiting ones that never ran, waiting ones that must start in order (all but suspects),
    // and running ones that may be preempted.
    tier_counts m_unstarted;
    tier_counts m_waiting;
    tier_counts m_preemptible;
    std::vector<std::string> m_violations;
    std::uint64_t m_violationCount = 0;
};

} // namespace kumquat
