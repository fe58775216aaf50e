#pragma once

#include "core/duty_announcement.h"
#include "core/duty_store_call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat::duties {

// Another router has passed on who performs the duties. The age is that at the arrival.
struct announcement_heard {
    duty_announcement announcement;
};

// The hosts of other routers that may serve as deputies, the preferred ones first.
struct deputies_changed {
    std::vector<std::string> addresses;
};

// The time of day is this much more than the time of the monotonic clock.
struct time_corrected {
    duration offset {};
};

// A call to the store has ended.
struct duty_store_answered {
    std::uint64_t call = 0;
    duty_store_answer answer;
    // The era that the answer named, if any.
    std::optional<std::uint64_t> era;
};

// A report to the platform's API has ended.
struct usage_report_answered {
    std::uint64_t call = 0;
    // Absent if there was no answer.
    std::optional<int> status;
    // Why there was none.
    std::string reason;
    // Nothing of the call was sent, and nothing will be.
    bool neverSent = false;
};

// The process was suspended, or did not run while the clock went on.
struct execution_interrupted {
    duration gap {};
};

// The process is to end.
struct duties_terminated { };

// The time that nextDeadline returned has come.
struct duty_timer_due { };

using duty_event = std::variant<announcement_heard, deputies_changed, time_corrected, duty_store_answered, usage_report_answered, execution_interrupted, duties_terminated, duty_timer_due>;

} // namespace kumquat::duties
