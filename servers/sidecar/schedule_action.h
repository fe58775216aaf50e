#pragma once

#include "core/caller_error.h"
#include "core/peer_message.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// The attempt takes a slot, for the first time or again after a preemption.
struct begin_attempt {
    attempt_id attempt;
    bool resumes = false;
};

// The attempt gives its slot to a higher one and waits for another.
struct interrupt_attempt {
    attempt_id attempt;
};

// The attempt is given up while it waits. It never ran unless it resumes.
struct give_up_attempt {
    attempt_id attempt;
    bool resumes = false;
    error_code reason = error_code::overloaded;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 };
};

// A decision of the scheduler, to be executed in order.
using schedule_action = std::variant<begin_attempt, interrupt_attempt, give_up_attempt>;
using schedule_actions = std::vector<schedule_action>;

} // namespace kumquat
