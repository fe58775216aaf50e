#include "servers/config/step_journal.h"

namespace kumquat {

step_journal::step_journal(std::size_t maxSteps, std::size_t maxBytes)
    : m_maxSteps(maxSteps)
    , m_maxBytes(maxBytes)
{
}

void step_journal::append(const document_step& step)
{
    if (!m_steps.empty() && m_steps.back().to != step.from) {
        m_steps.clear();
        m_bytes = 0;
    }
    m_steps.push_back(step);
    m_bytes += step.patch.size();
    while (!m_steps.empty() && (m_steps.size() > m_maxSteps || m_bytes > m_maxBytes)) {
        m_bytes -= m_steps.front().patch.size();
        m_steps.pop_front();
    }
}

std::optional<std::vector<document_step>> step_journal::between(const document_version& from, const document_version& to) const
{
    std::vector<document_step> found;
    for (const auto& step : m_steps) {
        if (found.empty() && step.from != from)
            continue;
        found.push_back(step);
        if (step.to == to)
            return found;
    }
    return std::nullopt;
}

} // namespace kumquat
