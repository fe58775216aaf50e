#include "servers/entry/prefix_memory.h"

namespace kumquat {

void prefix_memory::remember(const std::vector<std::uint64_t>& prefixHashes)
{
    for (const auto hash : prefixHashes) {
        const auto known = m_places.find(hash);
        if (known != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, known->second);
            continue;
        }
        m_order.push_front(hash);
        m_places.emplace(hash, m_order.begin());
        if (m_places.size() <= m_limit)
            continue;
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
}

std::size_t prefix_memory::matchLength(const std::vector<std::uint64_t>& prefixHashes) const
{
    std::size_t length = 0;
    while (length < prefixHashes.size() && m_places.contains(prefixHashes[length]))
        ++length;
    return length;
}

void prefix_memory::clear()
{
    m_order.clear();
    m_places.clear();
}

} // namespace kumquat
