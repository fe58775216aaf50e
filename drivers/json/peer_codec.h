#pragma once

#include "core/peer_message.h"
#include "core/result.h"

#include <string>

namespace kumquat {

// Encodes a message between processes as CBOR.
std::string encodePeerMessage(const peer_message&);

// Decodes a message, or says why the bytes are none. Never throws.
result<peer_message> decodePeerMessage(const std::string& bytes);

} // namespace kumquat
