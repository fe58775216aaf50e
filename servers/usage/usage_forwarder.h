#pragma once

#include "servers/usage/usage_collector.h"
#include "servers/usage/usage_sender.h"

namespace kumquat::usage {

// Sends the counts of routers that have fallen silent to the collectors that lack them. A new holder that was no deputy would otherwise
// miss the counts of routers that have died.
class usage_forwarder {
public:
    void setCollectors(const std::vector<std::string>& addresses, instant now);
    // Counts of a router have arrived, from itself or forwarded by another router.
    void hear(const usage_counts&, instant now);
    // Returns the messages that are due, with the counts from the given window on.
    std::vector<addressed_counts> takeDue(const usage_collector&, std::uint64_t firstWindow, instant now);
    void acknowledge(const std::string& address, const usage_acknowledgement&, instant now);

private:
    struct source {
        instant heardAt;
        // Present once the router has fallen silent.
        std::optional<usage_sender> sender;
    };

    // By incarnation.
    std::unordered_map<std::uint64_t, source> m_sources;
    std::vector<std::string> m_collectors;
};

} // namespace kumquat::usage
