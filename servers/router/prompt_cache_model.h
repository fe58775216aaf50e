#pragma once

#include "core/proxied_request.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace kumquat::router {

// How much of an upstream's prompt cache is modelled.
struct prompt_cache_bounds {
    // The tokens that the cache holds.
    std::int64_t tokens = 0;
    // The parts that the router has memory for, of whatever size.
    std::size_t parts = 0;
};

// A model of an upstream's prompt cache, from the prompts that the routers have sent there. It assumes that a full cache
// evicts the least recently used parts.
class prompt_cache_model {
public:
    // Records that a prompt was sent to the upstream.
    void recordPrompt(const prompt_description&, const prompt_cache_bounds&);
    // Records that one part of a prompt was sent to the upstream.
    void recordPart(const prompt_part&, const prompt_cache_bounds&);
    // Evicts parts until so many are left.
    void limitParts(std::size_t parts);
    std::size_t partCount() const { return m_byId.size(); }
    // The tokens of a prompt that are not expected to be cached. A part counts as cached only if all parts before it are.
    int uncachedPromptTokens(const prompt_description&) const;

private:
    struct cached_part {
        std::uint64_t id = 0;
        int tokens = 0;
    };

    void evictLast();

    // The most recently used part first.
    std::list<cached_part> m_recentlyUsed;
    std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> m_byId;
    std::int64_t m_totalTokens = 0;
};

} // namespace kumquat::router
