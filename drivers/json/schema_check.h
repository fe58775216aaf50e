#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>
#include <string>

namespace kumquat {

// Parses JSON text and validates it against a JSON Schema. Errors name the source, the JSON pointer and the invalid value,
// except for values of keys and tokens.
result<nlohmann::json> parseAndValidate(const std::string& source, const std::string& text, const char* schema);

} // namespace kumquat
