#pragma once

#include "core/operator_settings.h"
#include "core/result.h"
#include "servers/entry/entry_settings.h"
#include "servers/sidecar/sidecar_settings.h"

#include <string>

namespace kumquat {

// Each parser validates the text against the JSON Schema of the program's settings and fills in defaults. Errors name the
// source, the JSON pointer and the invalid value, except for secrets.
result<entry_settings> parseEntrySettings(const std::string& source, const std::string& text);
result<sidecar_settings> parseSidecarSettings(const std::string& source, const std::string& text);
result<operator_settings> parseOperatorSettings(const std::string& source, const std::string& text);

} // namespace kumquat
