#pragma once

#include "core/instance.h"
#include "core/result.h"
#include "core/stored_object.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace kumquat {

// Blocking HTTP client of the platform's object API and instance list. Each call opens its own connection, so threads
// may share one client.
class object_api_client {
public:
    struct options {
        std::string host;
        int port = 0;
        std::chrono::milliseconds timeout { 2000 };
    };

    explicit object_api_client(options);

    // Returns the object; one that does not exist has version 0 and no value.
    result<stored_object> read(const std::string& key) const;
    // Waits up to the given time until the object's version exceeds the given version, then returns the object.
    result<stored_object> watch(const std::string& key, std::uint64_t afterVersion, std::chrono::milliseconds maxWait) const;
    // Writes the value if the current version equals the expected version; expected version 0 creates the object. Returns
    // response_lost when no usable response arrives, in which case the value may have been written.
    update_outcome update(const std::string& key, std::uint64_t expectedVersion, const std::string& value) const;
    // Removes the object if its version equals the expected version. Errors are ignored, so the object may still exist.
    void remove(const std::string& key, std::uint64_t expectedVersion) const;
    // Returns every object whose key begins with the prefix, sorted by key.
    result<std::vector<stored_object>> list(const std::string& prefix) const;
    result<std::vector<instance>> listInstances() const;

private:
    options m_options;
};

} // namespace kumquat
