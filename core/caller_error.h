#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace kumquat {

// Whether a request that ended in an error has run on an upstream. Only `no` is a guarantee.
enum class ran_state { no,
    yes,
    unknown };

// Codes of the errors that callers receive. docs/API.md lists the meaning and the HTTP status of each.
enum class error_code {
    malformed_request,
    unauthenticated,
    unknown_model,
    unknown_service,
    unknown_class,
    unsupported_option,
    body_too_large,
    key_reused,
    rate_limited,
    too_many_in_flight,
    overloaded,
    no_upstream,
    target_unreachable,
    request_suspected,
    crash_suspected,
    upstream_failed,
    outcome_unknown,
    claim_unavailable,
    in_progress,
    draining,
    timeout,
    not_configured,
    answer_not_kept,
    stream_not_resumable,
};

// An error that is returned to a caller.
struct caller_error {
    error_code code = error_code::upstream_failed;
    std::string message;
    ran_state ran = ran_state::no;
    // Absent when waiting does not make a retry more likely to succeed.
    std::optional<std::chrono::milliseconds> retryAfter;
};

const char* toString(error_code);
const char* toString(ran_state);

// Returns the HTTP status of the response that reports the code.
int httpStatus(error_code);

} // namespace kumquat
