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
    struct fragment {
        std::string text;
        std::uint32_t tokens = 0;
    };

    // Adds a received chunk and returns the fragments that can be delivered now: the chunk itself and buffered ones that
    // directly follow it. Returns nothing while an earlier chunk is missing.
    std::vector<fragment> accept(const output_chunk&);

    // Sets the total number of chunks in the answer, which the sidecar states when the attempt has finished.
    void setChunkCount(std::uint32_t chunkCount) { m_chunkCount = chunkCount; }
    bool isComplete() const { return m_chunkCount && m_nextSequence >= *m_chunkCount; }
    // Returns the sequence number of the first chunk that has not arrived.
    std::uint32_t nextChunk() const { return m_nextSequence; }

private:
    std::uint32_t m_nextSequence = 0;
    std::optional<std::uint32_t> m_chunkCount;
    std::map<std::uint32_t, fragment> m_outOfOrder;
};

} // namespace kumquat
