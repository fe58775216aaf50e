#pragma once

#include <cstddef>

namespace kumquat {

// What of an instance's memory each kind of holder may occupy. The rest is for code, configuration, records of upstreams and what the
// allocator keeps.
struct memory_shares {
    // Requests that have not been answered and answers that have not been sent, of all connections together.
    std::size_t connectionBytes = 0;
    // The entries of the models of all upstreams' prompt caches.
    std::size_t promptCacheParts = 0;
    // The suspects of attempts that broke off lately, at all upstreams.
    std::size_t brokenSuspects = 0;
};

memory_shares divideMemory(std::size_t memoryBytes);

// The part of a table for each upstream that belongs to one of them.
std::size_t shareOfUpstream(std::size_t entries, std::size_t upstreams, std::size_t least);

} // namespace kumquat
