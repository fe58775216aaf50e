#pragma once

#include "core/result.h"
#include "core/usage_message.h"

#include <string>

namespace kumquat {

// Whether a datagram has a message about the use of upstreams, rather than a digest or a message about a stream.
bool isUsageMessage(const std::string&);
// Encodes a message as the CBOR payload of one datagram.
std::string encodeUsageMessage(const usage_message&);
// Returns an error if the bytes are not such a message.
result<usage_message> decodeUsageMessage(const std::string&);

} // namespace kumquat
