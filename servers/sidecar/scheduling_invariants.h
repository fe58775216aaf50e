#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat {

// Checks, from a count of its own, what the scheduler must never do:
// - shed an attempt while a lower one waits in a place, or runs preemptibly in a slot, that it could have had;
// - preempt for an attempt that is not of a higher tier, or while a lower one could be preempted instead;
// - start an attempt while a higher one waits, except by the guaranteed share;
// - start an attempt twice without a preemption between, or at all after it was refused or withdrawn.
// A fact costs the logarithm of the number of attempts. Violations are kept as sentences, a few at most.
class scheduling_invariants {
public:
    // Why an attempt that never ran was given up.
    enum class shed_cause { queue_full,
        target_unreachable,
        other };
    enum class start_cause { in_order,
        guaranteed_share };

    // The baseline that ignores tiers is not held to their order.
    explicit scheduling_invariants(bool checksTiers)
        : m_checksTiers(checksTiers)
    {
    }

    // A suspect may be passed over, so that starts before it are no inversion.
    void queued(const attempt_id&, std::uint32_t tierRank, bool suspect);
    // A waiting attempt has become a suspect.
    void suspected(const attempt_id&);
    // An arrival or a waiting attempt is refused.
    void shed(const attempt_id&, std::uint32_t tierRank, shed_cause);
    void started(const attempt_id&, std::uint32_t tierRank, start_cause, bool preemptible, bool resumes);
    void preempted(const attempt_id& victim, std::uint32_t beneficiaryRank);
    void ended(const attempt_id&);
    // The attempt's tombstone is dropped.
    void forgotten(const attempt_id&);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t violationCount() const { return m_violationCount; }

private:
    enum class phase { arrived,
        queued,
        running,
        preempted,
        ended };

    struct known_attempt {
        phase state = phase::arrived;
        std::uint32_t tierRank = 0;
        bool preemptible = false;
        bool suspect = false;
        std::uint32_t starts = 0;
        std::uint32_t preemptions = 0;
        // Whether it was refused or withdrawn before it ran.
        bool closed = false;
    };

    using tier_counts = std::map<std::uint32_t, std::uint32_t>;

    void leave(known_attempt&);
    void violated(const attempt_id&, const std::string& sentence);
    static bool hasBelow(const tier_counts&, std::uint32_t tierRank);
    static bool hasAbove(const tier_counts&, std::uint32_t tierRank);

    bool m_checksTiers;
    std::map<attempt_id, known_attempt> m_attempts;
    // Waiting attempts that never ran, all that must start in order, and preemptible running ones, by tier.
    tier_counts m_unstarted;
    tier_counts m_waiting;
    tier_counts m_preemptible;
    std::vector<std::string> m_violations;
    std::uint64_t m_violationCount = 0;
};

} // namespace kumquat
