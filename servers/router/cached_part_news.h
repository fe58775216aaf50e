#pragma once

#include "core/router_digest.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace kumquat::router {

// The newest prompt parts that were sent to upstreams since the last digest. No more are kept than a digest has room for, since it
// reports the newest ones alone.
class cached_part_news {
public:
    explicit cached_part_news(std::size_t maxParts)
        : m_maxParts(maxParts)
    {
    }

    void add(const cached_prompt_part& part)
    {
        // Twice as many are let in before the older half is dropped, so that a part costs a constant time.
        if (m_parts.size() >= 2 * m_maxParts)
            m_parts.erase(m_parts.begin(), m_parts.end() - static_cast<std::ptrdiff_t>(m_maxParts));
        m_parts.push_back(part);
    }

    void add(const std::vector<cached_prompt_part>& parts)
    {
        for (const auto& part : parts)
            add(part);
    }

    // The parts in the order in which they were added.
    const std::vector<cached_prompt_part>& parts() const { return m_parts; }
    std::vector<cached_prompt_part> take() { return std::exchange(m_parts, {}); }
    bool empty() const { return m_parts.empty(); }

private:
    std::size_t m_maxParts;
    std::vector<cached_prompt_part> m_parts;
};

} // namespace kumquat::router
