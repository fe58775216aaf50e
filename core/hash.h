#pragma once

#include <cstdint>
#include <string_view>

namespace kumquat {

// Hashes bytes with xxHash64. The value is equal on every process and build.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace kumquat
