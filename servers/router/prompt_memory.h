#pragma once

#include "core/proxied_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace kumquat::router {

// What an upstream is believed to keep of the prompts that this router has sent there. The parts that were used least
// recently are taken to have yielded once the memory is full.
class prompt_memory {
public:
    // Notes that a prompt was sent.
    void use(const prompt_description&, std::int64_t capacityTokens);
    // Notes that one part of a prompt was sent.
    void usePart(const prompt_part&, std::int64_t capacityTokens);
    // The tokens of a prompt that have to be read. A part counts as kept only behind kept parts.
    int uncachedPromptTokens(const prompt_description&) const;

private:
    struct kept_part {
        std::uint64_t id = 0;
        int tokens = 0;
    };

    std::list<kept_part> m_byUse;
    std::unordered_map<std::uint64_t, std::list<kept_part>::iterator> m_byId;
    std::int64_t m_tokens = 0;
};

} // namespace kumquat::router
