#pragma once

#include <variant>
#include <vector>

namespace kumquat_test {

// Returns the effects that have the type Wanted, in order.
template <typename Wanted, typename Effect>
std::vector<Wanted> only(const std::vector<Effect>& effects)
{
    std::vector<Wanted> found;
    for (const auto& effect : effects) {
        if (const auto* match = std::get_if<Wanted>(&effect))
            found.push_back(*match);
    }
    return found;
}

// Returns the peer messages of type Message that effects of type Send carry, in order.
template <typename Message, typename Send, typename Effect>
std::vector<Message> sent(const std::vector<Effect>& effects)
{
    std::vector<Message> found;
    for (const auto& send : only<Send>(effects)) {
        if (const auto* match = std::get_if<Message>(&send.message))
            found.push_back(*match);
    }
    return found;
}

} // namespace kumquat_test
