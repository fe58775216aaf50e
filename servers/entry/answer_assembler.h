#pragma once

#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Reorders and deduplicates the output chunks of one attempt, since messages may be lost, reordered or repeated. It returns
// each chunk exactly once, in order of its sequence number.
class answer_assembler {
public:
    struct piece {
        std::string text;
        std::uint32_t tokens = 0;
    };

    // Adds a received chunk and returns the fragments that can be delivered now: the chunk itself and buffered ones that
    // directly follow it. Returns nothing while an earlier chunk is missing.
    std::vector<piece> accept(const output_chunk&);

    // Sets the total number of chunks in the answer, which the sidecar states when the attempt has finished.
    void setEnd(std::uint32_t chunkCount) { m_end = chunkCount; }
    bool isComplete() const { return m_end && m_next >= *m_end; }
    // Returns the sequence number of the first chunk that has not arrived.
    std::uint32_t nextChunk() const { return m_next; }

private:
    std::uint32_t m_next = 0;
    std::optional<std::uint32_t> m_end;
    std::map<std::uint32_t, piece> m_early;
};

} // namespace kumquat
