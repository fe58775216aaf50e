#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <string>

namespace kumquat {

// An attempt that waits for a slot.
struct queued_attempt {
    attempt_id attempt;
    std::uint32_t tierRank = 0;
    std::string className;
    std::string organisation;
    std::uint64_t fingerprint = 0;
    // Tokens that the organisation is charged for the start.
    double charge = 0;
    // Time for which the attempt is expected to occupy a slot.
    duration expectedRun { 0 };
    instant arrived;
    // When the attempt is given up.
    instant deadline;
    // Latest start that still meets the targets of the class.
    instant startBy = instant::max();
    // When a lower stream is preempted for the attempt if it still waits.
    instant urgentAt = instant::max();
    // Whether the attempt was preempted and continues; it may no longer be refused as one that never ran.
    bool resumes = false;
    // Whether a request of this fingerprint was running when an upstream crashed.
    bool suspect = false;
    // Order of arrival, assigned by the queue; an attempt that returns keeps its place.
    std::uint64_t sequence = 0;
};

// Orders attempts by arrival.
struct by_sequence {
    bool operator()(const queued_attempt* left, const queued_attempt* right) const { return left->sequence < right->sequence; }
};

// Orders attempts by tier and, inside a tier, by arrival.
struct by_tier {
    bool operator()(const queued_attempt* left, const queued_attempt* right) const
    {
        if (left->tierRank != right->tierRank)
            return left->tierRank < right->tierRank;
        return left->sequence < right->sequence;
    }
};

// What runs next, and whether it runs by the guaranteed share of its class instead of by the order of tiers.
struct queue_choice {
    const queued_attempt* attempt = nullptr;
    bool guaranteed = false;
};

} // namespace kumquat
