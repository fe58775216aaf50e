#pragma once

#include "core/result.h"
#include "core/stream_message.h"

#include <string>

namespace kumquat {

// Whether a datagram has a message about a stream, rather than a digest.
bool isStreamMessage(const std::string&);
// Encodes a message as the CBOR payload of one datagram.
std::string encodeStreamMessage(const stream_message&);
// Returns an error if the bytes are not such a message.
result<stream_message> decodeStreamMessage(const std::string&);

} // namespace kumquat
