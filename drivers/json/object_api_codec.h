#pragma once

#include "core/instance.h"
#include "core/result.h"
#include "drivers/http/object_api_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

// Reads the bodies of the platform's object API.
result<stored_object> parseStoredObject(const std::string& key, const std::string& body);
result<std::vector<stored_object>> parseStoredObjects(const std::string& body);
result<std::uint64_t> parseVersion(const std::string& body);
result<std::vector<instance>> parseInstances(const std::string& body);

} // namespace kumquat
