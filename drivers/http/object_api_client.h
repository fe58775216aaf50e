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

// Speaks to the platform's object API and instance list. Calls block, so they run on threads of their own.
class object_api_client {
public:
    struct options {
        std::string host;
        int port = 0;
        std::chrono::milliseconds timeout { 2000 };
    };

    explicit object_api_client(options);

    result<stored_object> read(const std::string& key) const;
    // Waits until the object's version exceeds the given one, at most for the given time.
    result<stored_object> watch(const std::string& key, std::uint64_t after, std::chrono::milliseconds longest) const;
    // Writes the value if the present version is the expected one; 0 creates the object.
    update_outcome update(const std::string& key, std::uint64_t expectedVersion, const std::string& value) const;
    // Removes the object if its version is the expected one; the outcome of a lost call is not known.
    void remove(const std::string& key, std::uint64_t expectedVersion) const;
    // Returns every object whose key begins with the prefix, in order of their keys.
    result<std::vector<stored_object>> list(const std::string& prefix) const;
    result<std::vector<instance>> listInstances() const;

private:
    options m_options;
};

} // namespace kumquat
