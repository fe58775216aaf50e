#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// The runs of one organisation that one router has counted in one window.
struct usage_count {
    std::uint64_t window = 0;
    std::string organisation;
    std::uint64_t runs = 0;

    bool operator==(const usage_count&) const = default;
};

// Counts of one router for a collector. They are totals of their windows, so a repeated or delayed message does no harm.
struct usage_counts {
    // The incarnation of the router that has counted.
    std::uint64_t incarnation = 0;
    // Identifies the message in its acknowledgement.
    std::uint64_t number = 0;
    std::vector<usage_count> counts;
    // Another router passes the counts on, so they are no sign that their router is alive.
    bool forwarded = false;

    bool operator==(const usage_counts&) const = default;
};

// A collector has the counts of a message.
struct usage_acknowledgement {
    // The incarnation that sent the message.
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    // The incarnation of the collector. Its successor at the same address has none of the counts.
    std::uint64_t collector = 0;

    bool operator==(const usage_acknowledgement&) const = default;
};

// What routers tell each other about the use of upstreams.
using usage_message = std::variant<usage_counts, usage_acknowledgement>;

// No datagram with a usage message is larger.
constexpr std::size_t maxUsageMessageBytes = 1200;

} // namespace kumquat
