#pragma once

#include "core/clock.h"
#include "core/duty_store_call.h"
#include "core/log_event.h"
#include "core/metric.h"
#include "core/usage_report.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat::duties {

// Read or write the duty record. The call is not sent any more if the process was interrupted after the effect.
struct call_duty_store {
    // Identifies the call in its outcome.
    std::uint64_t call = 0;
    duty_store_call request;
    // Nothing of the call may be sent at that time or later.
    instant sendBefore;
};

// Send a report to the platform's API.
struct send_usage_report {
    // Identifies the call in its outcome.
    std::uint64_t call = 0;
    usage_report report;
    // The name of the holder.
    std::string holder;
    // The lease ends then: nothing of the call may be sent at that time or later.
    instant sendBefore;
};

// Abandon a call of either kind; it has no outcome.
struct cancel_duty_call {
    std::uint64_t call = 0;
};

// The routers that take the counts have changed: the holder, then its deputies.
struct collectors_changed {
    std::vector<std::string> addresses;
};

using duty_effect = std::variant<call_duty_store, send_usage_report, cancel_duty_call, collectors_changed, log_event, count_metric, gauge_metric>;
using duty_effects = std::vector<duty_effect>;

} // namespace kumquat::duties
