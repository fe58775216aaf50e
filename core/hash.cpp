#include "core/hash.h"

#include <xxhash.h>

namespace kumquat {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace kumquat
