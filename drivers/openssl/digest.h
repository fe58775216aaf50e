#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(std::string_view);

// Returns a number from the operating system's random source that is never zero.
std::uint64_t drawIncarnation();

} // namespace kumquat
