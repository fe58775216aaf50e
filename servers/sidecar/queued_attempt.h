#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <string>

namespace kumquat {

// The properties of an attempt on which the order of the admission queue depends.
struct queued_attempt {
    attempt_id attempt;
    std::uint32_t tierRank = 0;
    std::string className;
    std::string organisation;
    std::uint64_t fingerprint = 0;
    // Tokens that the organisation is charged when the attempt starts. Zero for a resumed attempt, which has been charged.
    double charge = 0;
    // Output tokens that the attempt is expected to produce from its next start on, at least 1.
    double cost = 1;
    // Time for which the attempt is expected to occupy a slot.
    duration expectedSlotTime { 0 };
    instant arrived;
    // When the attempt is dropped from the queue.
    instant deadline;
    // Latest start that still meets the latency targets of the class.
    instant startDeadline = instant::max();
    // If the attempt still waits at this time, it starts beyond the concurrency limit or a run of a lower tier is preempted
    // for it.
    instant urgentAt = instant::max();
    // Whether the attempt was preempted and resumes at its next start. It can fail, but it can no longer be refused, because
    // a refusal states that it never ran.
    bool resumes = false;
    // Whether a request with the same fingerprint was running when an upstream crashed.
    bool suspect = false;
    // Position in the order of arrival, assigned by the queue at the first push. A preempted attempt retains it.
    std::uint64_t sequence = 0;
};

// Orders attempts by arrival.
struct by_sequence {
    bool operator()(const queued_attempt* left, const queued_attempt* right) const { return left->sequence < right->sequence; }
};

// Orders attempts by tier, highest first, and within a tier by arrival.
struct by_tier {
    bool operator()(const queued_attempt* left, const queued_attempt* right) const
    {
        if (left->tierRank != right->tierRank)
            return left->tierRank < right->tierRank;
        return left->sequence < right->sequence;
    }
};

// The attempt that starts next, or null, and whether it starts by the guaranteed share of its class instead of by the order
// of tiers.
struct queue_choice {
    const queued_attempt* attempt = nullptr;
    bool guaranteed = false;
};

} // namespace kumquat
