#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace kumquat {

// Remembers the prompt prefixes most recently sent to one upstream, which its engine has probably cached.
class prefix_memory {
public:
    explicit prefix_memory(std::size_t limit = defaultLimit)
        : m_limit(limit)
    {
    }

    void remember(const std::vector<std::uint64_t>& prefixHashes);
    // Returns how many of the growing prefixes, shortest first, are remembered.
    std::size_t matchLength(const std::vector<std::uint64_t>& prefixHashes) const;
    void clear();
    std::size_t size() const { return m_places.size(); }

private:
    static constexpr std::size_t defaultLimit = 1024;

    std::size_t m_limit;
    // Most recent first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace kumquat
