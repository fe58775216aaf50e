#include "core/caller_error.h"

namespace kumquat {

namespace {

    struct code_description {
        error_code code;
        const char* name;
        int status;
    };

    constexpr code_description descriptions[] = {
        { error_code::malformed_request, "malformed_request", 400 },
        { error_code::unauthenticated, "unauthenticated", 401 },
        { error_code::unknown_model, "unknown_model", 404 },
        { error_code::unknown_service, "unknown_service", 404 },
        { error_code::unknown_class, "unknown_class", 400 },
        { error_code::unsupported_option, "unsupported_option", 400 },
        { error_code::body_too_large, "body_too_large", 413 },
        { error_code::key_reused, "key_reused", 422 },
        { error_code::rate_limited, "rate_limited", 429 },
        { error_code::too_many_in_flight, "too_many_in_flight", 429 },
        { error_code::overloaded, "overloaded", 503 },
        { error_code::no_upstream, "no_upstream", 503 },
        { error_code::target_unreachable, "target_unreachable", 503 },
        { error_code::request_suspected, "request_suspected", 422 },
        { error_code::crash_suspected, "crash_suspected", 503 },
        { error_code::upstream_failed, "upstream_failed", 502 },
        { error_code::outcome_unknown, "outcome_unknown", 504 },
        { error_code::claim_unavailable, "claim_unavailable", 503 },
        { error_code::in_progress, "in_progress", 409 },
        { error_code::draining, "draining", 503 },
        { error_code::timeout, "timeout", 504 },
        { error_code::not_configured, "not_configured", 503 },
        { error_code::answer_not_kept, "answer_not_kept", 410 },
        { error_code::stream_not_resumable, "stream_not_resumable", 503 },
    };

    const code_description& describe(error_code code)
    {
        for (const auto& description : descriptions) {
            if (description.code == code)
                return description;
        }
        return descriptions[0];
    }

} // namespace

const char* toString(error_code code)
{
    return describe(code).name;
}

int httpStatus(error_code code)
{
    return describe(code).status;
}

const char* toString(ran_state ran)
{
    switch (ran) {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    case ran_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace kumquat
