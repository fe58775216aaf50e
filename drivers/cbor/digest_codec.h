#pragma once

#include "core/result.h"
#include "core/router_digest.h"

#include <string>

namespace kumquat {

// Encodes a digest as CBOR, for one datagram.
std::string encodeDigest(const router_digest&);
result<router_digest> decodeDigest(const std::string&);

} // namespace kumquat
