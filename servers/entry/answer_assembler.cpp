#include "servers/entry/answer_assembler.h"

namespace kumquat {

std::vector<answer_assembler::fragment> answer_assembler::accept(const output_chunk& chunk)
{
    std::vector<fragment> deliverable;
    if (chunk.sequence < m_nextSequence)
        return deliverable;
    m_outOfOrder.emplace(chunk.sequence, fragment { chunk.text, chunk.tokens });
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first == m_nextSequence) {
        deliverable.push_back(std::move(m_outOfOrder.begin()->second));
        m_outOfOrder.erase(m_outOfOrder.begin());
        m_nextSequence++;
    }
    return deliverable;
}

} // namespace kumquat
