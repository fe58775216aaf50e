#pragma once

#include "core/usage_message.h"
#include "servers/usage/usage_counter.h"

#include <unordered_map>
#include <vector>

namespace kumquat::usage {

// The counts that other routers have sent. Of each incarnation, window and organisation the larger one is kept, so that messages may
// arrive late, repeatedly and in any order.
class usage_collector {
public:
    // Keeps the counts from the first to the last window, and discards the others.
    void keepWindows(std::uint64_t first, std::uint64_t last);
    // Merges the counts of a message. Returns how many of them are discarded: those of windows that are not kept, and those that
    // exceed the bounds.
    std::size_t receive(const usage_counts&);
    // The sums over all incarnations.
    organisation_runs countsOf(std::uint64_t window) const;
    // The counts of one incarnation from the given window on.
    usage_counter countsBy(std::uint64_t incarnation, std::uint64_t firstWindow) const;
    // The number of counts kept.
    std::size_t size() const { return m_size; }

private:
    struct organisation_count {
        // Index of the organisation's name in the window.
        std::uint32_t organisation = 0;
        std::uint32_t runs = 0;
    };
    struct window_counts {
        std::unordered_map<std::string, std::uint32_t> organisations;
        // By incarnation, each sorted by organisation.
        std::unordered_map<std::uint64_t, std::vector<organisation_count>> routers;
    };

    bool merge(window_counts&, std::uint64_t incarnation, const usage_count&);

    std::map<std::uint64_t, window_counts> m_windows;
    std::uint64_t m_firstWindow = 0;
    std::uint64_t m_lastWindow = 0;
    std::size_t m_size = 0;
};

} // namespace kumquat::usage
