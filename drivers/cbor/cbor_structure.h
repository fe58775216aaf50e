#pragma once

#include <string_view>

namespace kumquat {

// The structure of CBOR (RFC 8949), checked before a value is decoded. The library's decoder calls itself for each nested array,
// map and chunked string, so a short datagram can exhaust its stack.

// Whether the bytes are exactly one value that is nested no deeper than any message of this system. Tags, reserved heads and
// values of indefinite length, which no message has, are refused.
bool isShallowCbor(std::string_view bytes);

} // namespace kumquat
