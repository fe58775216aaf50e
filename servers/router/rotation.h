#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace kumquat::router {

// Returns up to maxItems entries, beginning at a position that the rotation selects, so that each entry has its turn.
template <typename Item>
std::vector<Item> takeRotated(std::vector<Item> items, std::size_t maxItems, std::size_t rotation)
{
    if (items.size() <= maxItems)
        return items;
    const auto start = rotation * maxItems % items.size();
    std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(start), items.end());
    items.resize(maxItems);
    return items;
}

} // namespace kumquat::router
