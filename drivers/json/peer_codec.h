#pragma once

#include "core/peer_message.h"
#include "core/result.h"

#include <string>

namespace kumquat {

// Encodes a message between processes as CBOR: an array of the message's type number and its fields.
std::string encodePeerMessage(const peer_message&);

// Decodes a message. Returns an error for bytes that are not a valid message; never throws.
result<peer_message> decodePeerMessage(const std::string& bytes);

} // namespace kumquat
