#include "servers/router/prompt_cache_model.h"

namespace kumquat::router {

void prompt_cache_model::recordPrompt(const prompt_description& prompt, std::int64_t capacityTokens)
{
    // From the last part to the first, so that the first parts, without which the later ones are of no use, are evicted last.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
        recordPart(*part, capacityTokens);
}

void prompt_cache_model::recordPart(const prompt_part& part, std::int64_t capacityTokens)
{
    const auto found = m_byId.find(part.id);
    if (found != m_byId.end()) {
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, found->second);
        return;
    }
    m_recentlyUsed.push_front({ part.id, part.tokens });
    m_byId.emplace(part.id, m_recentlyUsed.begin());
    m_totalTokens += part.tokens;
    while (m_totalTokens > capacityTokens && !m_recentlyUsed.empty()) {
        m_totalTokens -= m_recentlyUsed.back().tokens;
        m_byId.erase(m_recentlyUsed.back().id);
        m_recentlyUsed.pop_back();
    }
}

int prompt_cache_model::uncachedPromptTokens(const prompt_description& prompt) const
{
    int tokens = 0;
    bool prefixIsCached = true;
    for (const auto& part : prompt.parts) {
        prefixIsCached = prefixIsCached && m_byId.contains(part.id);
        if (!prefixIsCached)
            tokens += part.tokens;
    }
    return tokens;
}

} // namespace kumquat::router
