#pragma once

#include "core/peer_message.h"

#include <string>

namespace kumquat {

// Returns the prefix of all request ids that this incarnation of an entry assigns. Another incarnation of the entry has
// another prefix.
std::string requestIdPrefix(const peer_identity&);

} // namespace kumquat
