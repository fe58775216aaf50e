#pragma once

#include "core/peer_message.h"

#include <string>

namespace kumquat {

// Every request id that an entry draws begins with this; another incarnation of the entry has another prefix.
std::string requestIdPrefix(const peer_identity&);

} // namespace kumquat
