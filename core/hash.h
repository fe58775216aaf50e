#pragma once

#include <cstdint>
#include <string_view>

namespace kumquat {

// Hashes bytes with xxHash64. All processes and builds compute the same value, so it may be sent to other processes.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace kumquat
