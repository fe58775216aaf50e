#pragma once

#include "core/caller_error.h"
#include "core/peer_message.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// The attempt starts in a slot, for the first time or again after a preemption.
struct begin_attempt {
    attempt_id attempt;
    bool resumes = false;
};

// The running attempt loses its slot to an attempt of a higher tier and waits in the queue to resume.
struct preempt_attempt {
    attempt_id attempt;
};

// The waiting attempt is dropped from the queue. It is refused if it never ran, and fails if it had been preempted (resumes).
struct drop_attempt {
    attempt_id attempt;
    bool resumes = false;
    error_code reason = error_code::overloaded;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 };
};

// A decision of the scheduler. The reducer executes the actions in order.
using schedule_action = std::variant<begin_attempt, preempt_attempt, drop_attempt>;
using schedule_actions = std::vector<schedule_action>;

} // namespace kumquat
