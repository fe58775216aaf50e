#pragma once

#include <cstdint>
#include <string>

namespace kumquat {

// The right to give orders to one upstream, kept in one object of the object API.
struct order_lease {
    // Names the holder and its incarnation.
    std::string holder;
    // Grows by one with each change of the holder; every order carries it.
    std::uint64_t fencingNumber = 0;
    // Drawn for each write, so that a lost answer is resolved by reading back.
    std::string writeId;
};

} // namespace kumquat
