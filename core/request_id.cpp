#include "core/request_id.h"

namespace kumquat {

std::string requestIdPrefix(const peer_identity& entry)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text = entry.id + "-";
    for (int shift = 60; shift >= 0; shift -= 4)
        text += digits[(entry.incarnation >> shift) & 0xf];
    return text + "-";
}

} // namespace kumquat
