#pragma once

#include "core/clock.h"
#include "core/crash_report.h"
#include "servers/router/crash_evidence.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace kumquat::router {

// When a suspect was last answered, and who knows of it.
struct observed_answer {
    instant at;
    news_origin origin = news_origin::own;
};

// Remembers which requests and prompt parts upstreams have answered lately, so that a suspect that has done no harm before can be told
// from one that no upstream has ever answered. The oldest ones are dropped first.
class answer_history {
public:
    void record(const crash_suspect&, observed_answer);
    // Returns nothing if no answer is remembered.
    std::optional<observed_answer> find(const crash_suspect&) const;
    // The answers recorded so far, also those that have been dropped.
    std::size_t recordedCount() const { return m_recordedCount; }

private:
    using generation = std::unordered_map<crash_suspect, observed_answer, crash_suspect_hash>;

    generation m_recent;
    // What was recorded before m_recent was full and begun anew.
    generation m_older;
    std::size_t m_recordedCount = 0;
};

} // namespace kumquat::router
