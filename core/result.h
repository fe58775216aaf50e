#pragma once

#include <string>
#include <variant>

namespace kumquat {

// Describes why an operation failed, in words for an operator. The message names the offending value.
struct error {
    std::string message;
};

// Holds either the value of an operation or the reason that there is none.
template <typename Value>
using result = std::variant<Value, error>;

// Returns the error of a failed result, or null when it holds a value.
template <typename Value>
const error* errorOf(const result<Value>& outcome)
{
    return std::get_if<error>(&outcome);
}

// Returns the value of a result. The caller has checked errorOf() first.
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
