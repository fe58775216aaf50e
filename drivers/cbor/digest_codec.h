#pragma once

#include "core/result.h"
#include "core/router_digest.h"

#include <string>

namespace kumquat {

// Encodes a digest as the CBOR payload of one datagram.
std::string encodeDigest(const router_digest&);
// Returns an error if the bytes are not a digest of the version that encodeDigest() writes.
result<router_digest> decodeDigest(const std::string&);

} // namespace kumquat
