#pragma once

#include <string>
#include <variant>

namespace kumquat {

// Describes to an operator why an operation failed. The message contains the offending value.
struct error {
    std::string message;
};

// Contains either the value that an operation returns or the error because of which it failed.
template <typename Value>
using result = std::variant<Value, error>;

// Returns the error of a failed result, or null when it holds a value.
template <typename Value>
const error* errorOf(const result<Value>& outcome)
{
    return std::get_if<error>(&outcome);
}

// Returns the value of a result. The caller must check errorOf() first; throws std::bad_variant_access for an error.
template <typename Value>
Value& valueOf(result<Value>& outcome)
{
    return std::get<Value>(outcome);
}

template <typename Value>
const Value& valueOf(const result<Value>& outcome)
{
    return std::get<Value>(outcome);
}

} // namespace kumquat
