#pragma once

#include "core/peer_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquat {

// Stores the latest consecutive steps of the document. A peer that is only a few versions behind receives these instead
// of the full document.
class step_journal {
public:
    step_journal(std::size_t maxSteps, std::size_t maxBytes);

    // Appends a step and removes the oldest ones above the bounds. A step that does not start from the last version
    // replaces all stored steps.
    void append(const document_step&);
    // Returns the steps from one version to the other, or nothing when some of them are not stored.
    std::optional<std::vector<document_step>> between(const document_version& from, const document_version& to) const;
    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_maxSteps;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::deque<document_step> m_steps;
};

} // namespace kumquat
