#include "drivers/json/error_body.h"

#include <nlohmann/json.hpp>

namespace kumquat {

using nlohmann::json;

std::string formatErrorBody(const std::string& requestId, const caller_error& failure)
{
    const json body = { { "error", { { "code", toString(failure.code) }, { "message", failure.message }, { "ran", toString(failure.ran) }, { "request_id", requestId } } } };
    // A caller may have sent bytes that are not UTF-8; they must not make the answer fail.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace kumquat
