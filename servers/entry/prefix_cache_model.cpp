#include "servers/entry/prefix_cache_model.h"

namespace kumquat {

void prefix_cache_model::addPrompt(const std::vector<std::uint64_t>& prefixHashes)
{
    for (const auto hash : prefixHashes) {
        const auto existing = m_positions.find(hash);
        if (existing != m_positions.end()) {
            m_recency.splice(m_recency.begin(), m_recency, existing->second);
            continue;
        }
        m_recency.push_front(hash);
        m_positions.emplace(hash, m_recency.begin());
        if (m_positions.size() <= m_capacity)
            continue;
        m_positions.erase(m_recency.back());
        m_recency.pop_back();
    }
}

std::size_t prefix_cache_model::matchLength(const std::vector<std::uint64_t>& prefixHashes) const
{
    std::size_t length = 0;
    while (length < prefixHashes.size() && m_positions.contains(prefixHashes[length]))
        ++length;
    return length;
}

void prefix_cache_model::clear()
{
    m_recency.clear();
    m_positions.clear();
}

} // namespace kumquat
