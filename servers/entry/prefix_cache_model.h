#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace kumquat {

// Model of the prefix cache of one upstream's engine: the prompt prefixes most recently sent to the upstream, which the
// engine has probably cached. Evicts the least recently used prefix at capacity.
class prefix_cache_model {
public:
    explicit prefix_cache_model(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    // Adds the prefixes of a prompt that is sent to the upstream, or marks them as recently used.
    void addPrompt(const std::vector<std::uint64_t>& prefixHashes);
    // Returns how many of the prefixes are in the model without a gap, from the first on. The hashes are those of growing
    // prefixes of one prompt, shortest first.
    std::size_t matchLength(const std::vector<std::uint64_t>& prefixHashes) const;
    void clear();
    std::size_t size() const { return m_positions.size(); }

private:
    static constexpr std::size_t defaultCapacity = 1024;

    std::size_t m_capacity;
    // Most recent first.
    std::list<std::uint64_t> m_recency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace kumquat
