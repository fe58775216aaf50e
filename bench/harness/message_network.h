#pragma once

#include "bench/harness/scenario.h"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat_bench {

// Decides when, how often and in which order messages between processes arrive.
class message_network {
public:
    message_network(network_model, std::uint64_t seed);

    // Returns the times at which copies of one message arrive; none when it is lost.
    std::vector<instant> route(const std::string& from, const std::string& to, duration delay, instant now);

    // Ends loss, duplication and reordering.
    void heal();

private:
    instant arrival(const std::string& from, const std::string& to, duration delay, instant now);

    network_model m_model;
    std::mt19937_64 m_random;
    std::map<std::pair<std::string, std::string>, instant> m_lastArrival;
};

} // namespace kumquat_bench
