#pragma once

#include "core/instance.h"
#include "core/result.h"
#include "drivers/http/object_api_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Parse response bodies of the platform's object API and instance list. Return an error if the body is not JSON or a
// required field is missing or has another type.
result<stored_object> parseStoredObject(const std::string& key, const std::string& body);
result<std::vector<stored_object>> parseStoredObjects(const std::string& body);
result<std::uint64_t> parseVersion(const std::string& body);
result<std::vector<instance>> parseInstances(const std::string& body);

} // namespace kumquat
