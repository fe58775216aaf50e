#include "core/memory_shares.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Buffers grow by doubling and are copied then, and the allocator keeps some of what was freed: connections get this share of the
    // memory, so that buffers, the tables of a large fleet and the code fit.
    constexpr std::size_t connectionShare = 4;
    // With a sixth of 88 MB, 790 upstreams have 185 parts each: about what prompts of ordinary parts leave in a cache of 438,321 tokens.
    constexpr std::size_t promptCacheShare = 6;
    // A node of a list and one of a map, with the allocator's overhead.
    constexpr std::size_t bytesOfCachedPart = 100;
    constexpr std::size_t brokenSuspectShare = 32;
    constexpr std::size_t bytesOfSuspect = 16;

} // namespace

memory_shares divideMemory(std::size_t memoryBytes)
{
    return { memoryBytes / connectionShare, memoryBytes / promptCacheShare / bytesOfCachedPart, memoryBytes / brokenSuspectShare / bytesOfSuspect };
}

std::size_t shareOfUpstream(std::size_t entries, std::size_t upstreams, std::size_t least)
{
    return std::max(entries / std::max<std::size_t>(upstreams, 1), least);
}

} // namespace kumquat
