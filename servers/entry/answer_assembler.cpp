#include "servers/entry/answer_assembler.h"

namespace kumquat {

std::vector<answer_assembler::piece> answer_assembler::accept(const output_chunk& chunk)
{
    std::vector<piece> ready;
    if (chunk.sequence < m_next)
        return ready;
    m_early.emplace(chunk.sequence, piece { chunk.text, chunk.tokens });
    while (!m_early.empty() && m_early.begin()->first == m_next) {
        ready.push_back(std::move(m_early.begin()->second));
        m_early.erase(m_early.begin());
        m_next++;
    }
    return ready;
}

} // namespace kumquat
