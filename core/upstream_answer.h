#pragma once

#include "core/clock.h"
#include "core/http_message.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// The status line and headers of an upstream's answer, with what they state about the execution of the request.
struct upstream_answer {
    http_answer_head head;
    // The answer carries the upstream's signature header.
    bool hasSignature = false;
    // The upstream states that it did not run the request and will not.
    bool notRun = false;
    // The request reached another upstream than it was addressed to, which refused to run it.
    bool wrongUpstream = false;
    // The upstream states that it is shutting down and accepts no new requests.
    bool leaving = false;
    // Set if the upstream turned the request away because it is busy and named a time for which it wants no others.
    std::optional<duration> retryAfter;
    // The text that names such a time, if it can't be read.
    std::string invalidRetryAfter;
    // Set if the upstream names a limit of the requests a second that it accepts from all routers together. An error tells why
    // the limit can't be read.
    std::optional<result<double>> rateLimit;
};

} // namespace kumquat
