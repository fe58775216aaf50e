#include "drivers/json/error_body.h"

#include <nlohmann/json.hpp>

namespace kumquat {

using nlohmann::json;

std::string formatErrorBody(const std::string& requestId, const caller_error& failure)
{
    const json body = { { "error", { { "code", toString(failure.code) }, { "message", failure.message }, { "ran", toString(failure.ran) }, { "request_id", requestId } } } };
    // The message may quote bytes of the caller that are not UTF-8. They are replaced, since dump() would throw otherwise.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace kumquat
