#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Puts the chunks of one attempt in order. Each chunk comes out exactly once, whatever order and however often they arrive.
class answer_assembler {
public:
    struct piece {
        std::string text;
        std::uint32_t tokens = 0;
    };

    // Takes a chunk and returns the pieces that have become deliverable.
    std::vector<piece> accept(const output_chunk&);

    // Records that the answer ends after this many chunks.
    void setEnd(std::uint32_t chunkCount) { m_end = chunkCount; }
    bool isComplete() const { return m_end && m_next >= *m_end; }
    // First chunk that is missing.
    std::uint32_t nextChunk() const { return m_next; }

private:
    std::uint32_t m_next = 0;
    std::optional<std::uint32_t> m_end;
    std::map<std::uint32_t, piece> m_early;
};

} // namespace kumquat
