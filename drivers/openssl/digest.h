#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(std::string_view);

// Returns a random number from OpenSSL's cryptographically secure generator; it is never zero. Aborts the process if no
// randomness is available.
std::uint64_t randomNonZero();

} // namespace kumquat
