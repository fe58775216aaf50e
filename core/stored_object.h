#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace kumquat {

// An object of the platform's object API. Version 0 means that it does not exist.
struct stored_object {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

// A conditional update was refused, since the version that it names is not the current one.
struct version_conflict {
    std::uint64_t currentVersion = 0;
};

// The answer to an update was not received; the update may have taken effect or may still do so.
struct response_lost {
    std::string message;
};

using update_outcome = std::variant<stored_object, version_conflict, response_lost>;

} // namespace kumquat
