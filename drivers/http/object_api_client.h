#pragma once

#include "core/instance.h"
#include "core/result.h"

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

// An object of the platform's API. Version 0 means that it does not exist.
struct stored_object {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

// The version named in a conditional update is no longer the present one.
struct version_conflict {
    std::uint64_t presentVersion = 0;
};

// No answer came: the update may have taken effect, or may still do so.
struct outcome_lost {
    std::string message;
};

using update_outcome = std::variant<stored_object, version_conflict, outcome_lost>;

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
    result<std::vector<instance>> listInstances() const;

private:
    options m_options;
};

} // namespace kumquat
