#pragma once

#include <variant>
#include <vector>

namespace kumquat_test {

// Returns the effects of one type.
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

// Returns the peer messages of one type among the effects that send.
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
