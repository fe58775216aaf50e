#pragma once

#include "core/http_message.h"

#include <cstdint>
#include <optional>

namespace kumquat {

// The head of an upstream's answer, with what it says of the request.
struct upstream_answer {
    http_answer_head head;
    // The upstream vouches for the answer.
    bool hasSignature = false;
    // The upstream states that it did not run the request and will not.
    bool notRun = false;
    // Another upstream than the one expected answered; the request was not run.
    bool wrongUpstream = false;
};

} // namespace kumquat
