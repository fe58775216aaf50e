#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace kumquat {

// Names a connection of one of the process's servers or clients.
struct connection_key {
    std::uint32_t owner = 0;
    std::uint64_t id = 0;

    bool operator==(const connection_key&) const = default;
};

struct connection_key_hash {
    std::size_t operator()(const connection_key& key) const { return std::hash<std::uint64_t>()(key.id ^ (static_cast<std::uint64_t>(key.owner) << 56)); }
};

// Who is ended first when memory runs short, the first one first.
enum class holder_rank {
    // An answer of an upstream with an event that has become larger than ordinary events without an end.
    endless_answer,
    // A caller without a request in progress that makes no progress.
    stalled_caller,
    // Another caller without a request in progress. Its request has not run, and it is told so.
    waiting_caller,
    // Another answer of an upstream of which a part is kept.
    kept_answer,
    stalled_caller_in_progress,
    caller_in_progress,
    // A caller that waits for its upstream and holds no more than callers with a request in progress do on average.
    caller_awaiting_upstream,
    // An answer of the store, whose size its reader bounds.
    store_answer
};

// Who holds memory on behalf of somebody outside, and can be ended to release it.
struct memory_holder {
    connection_key key;
    holder_rank rank = holder_rank::caller_in_progress;
    std::size_t heldBytes = 0;
    instant progressAt;
};

// What all hold together, those included that can't be ended, and how much they may.
struct memory_level {
    std::size_t heldBytes = 0;
    // From here on endless answers and stalled callers are ended.
    std::size_t pressureBytes = 0;
    // From here on all others too, until half of the room between pressure and bound is free.
    std::size_t boundBytes = 0;
};

// Sorts by rank, and within a rank by what is held, most first.
void sortForRelief(std::vector<memory_holder>&);

// Returns whom to end now, in that order. Whoever holds less than a small share of the mean is left out as long as others hold more: to end
// it would release next to nothing.
std::vector<connection_key> selectForRelief(std::vector<memory_holder>, memory_level);

} // namespace kumquat
