#include "servers/router/prompt_memory.h"

namespace kumquat::router {

void prompt_memory::use(const prompt_description& prompt, std::int64_t capacityTokens)
{
    // From the last part to the first, so that the first parts, without which the later ones are of no use, are evicted last.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
        usePart(*part, capacityTokens);
}

void prompt_memory::usePart(const prompt_part& part, std::int64_t capacityTokens)
{
    const auto known = m_byId.find(part.id);
    if (known != m_byId.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, known->second);
        return;
    }
    m_byUse.push_front({ part.id, part.tokens });
    m_byId.emplace(part.id, m_byUse.begin());
    m_tokens += part.tokens;
    while (m_tokens > capacityTokens && !m_byUse.empty()) {
        m_tokens -= m_byUse.back().tokens;
        m_byId.erase(m_byUse.back().id);
        m_byUse.pop_back();
    }
}

int prompt_memory::uncachedPromptTokens(const prompt_description& prompt) const
{
    int tokens = 0;
    bool kept = true;
    for (const auto& part : prompt.parts) {
        kept = kept && m_byId.contains(part.id);
        if (!kept)
            tokens += part.tokens;
    }
    return tokens;
}

} // namespace kumquat::router
