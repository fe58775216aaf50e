#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace kumquat {

// A revision of the store together with the era in which the store gave it out. A store that is restored from an older copy
// enters a new era and gives out revisions again, so that positions compare by era first.
struct store_position {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;
};

// Formats a position for a log line, for example "2.1044" for revision 1044 of era 2.
inline std::string toString(store_position position)
{
    return std::to_string(position.era) + "." + std::to_string(position.revision);
}

} // namespace kumquat
