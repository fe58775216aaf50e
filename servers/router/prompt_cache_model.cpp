#include "servers/router/prompt_cache_model.h"

#include <algorithm>
#include <limits>

namespace kumquat::router {

void prompt_cache_model::recordPrompt(const prompt_description& prompt, const prompt_cache_bounds& bounds)
{
    // From the last part to the first, so that the first parts, without which the later ones are of no use, are evicted last.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
        recordPart(*part, bounds);
}

void prompt_cache_model::recordPart(const prompt_part& part, const prompt_cache_bounds& bounds)
{
    const auto found = m_byId.find(part.id);
    if (found != m_byId.end()) {
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, found->second);
        return;
    }
    // A negative number, which another router may report, would make room for ever.
    const auto tokens = std::max(part.tokens, 0);
    m_recentlyUsed.push_front({ part.id, tokens });
    m_byId.emplace(part.id, m_recentlyUsed.begin());
    m_totalTokens += tokens;
    while (m_totalTokens > bounds.tokens && !m_recentlyUsed.empty())
        evictLast();
    limitParts(bounds.parts);
}

void prompt_cache_model::limitParts(std::size_t parts)
{
    while (m_byId.size() > parts)
        evictLast();
}

void prompt_cache_model::evictLast()
{
    m_totalTokens -= m_recentlyUsed.back().tokens;
    m_byId.erase(m_recentlyUsed.back().id);
    m_recentlyUsed.pop_back();
}

int prompt_cache_model::uncachedPromptTokens(const prompt_description& prompt) const
{
    std::int64_t tokens = 0;
    bool prefixIsCached = true;
    for (const auto& part : prompt.parts) {
        prefixIsCached = prefixIsCached && m_byId.contains(part.id);
        if (!prefixIsCached)
            tokens += part.tokens;
    }
    return static_cast<int>(std::min<std::int64_t>(tokens, std::numeric_limits<int>::max()));
}

} // namespace kumquat::router
