#pragma once

#include "core/peer_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquat {

// Keeps the latest consecutive steps of the document, so that a peer that is a little behind receives only those.
class step_journal {
public:
    step_journal(std::size_t maximumSteps, std::size_t maximumBytes);

    // A step that does not continue the last one replaces everything kept.
    void append(const document_step&);
    // Returns the steps that lead from one version to the other, or nothing when they are not all kept.
    std::optional<std::vector<document_step>> between(const document_version& from, const document_version& to) const;
    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_maximumSteps;
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::deque<document_step> m_steps;
};

} // namespace kumquat
