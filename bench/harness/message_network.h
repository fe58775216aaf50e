#pragma once

#include "bench/harness/scenario.h"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat_bench {

// Simulates the network between processes: latency, jitter, loss, duplication and reordering of messages.
class message_network {
public:
    message_network(network_model, std::uint64_t seed);

    // Returns the arrival time of each copy of a message sent now. The result is empty if the message is lost and has two
    // entries if it is duplicated.
    std::vector<instant> arrivalTimes(const std::string& from, const std::string& to, duration delay, instant now);

    // Stops loss, duplication and reordering for the messages sent from now on.
    void disableFaults();

private:
    instant drawArrivalTime(const std::string& from, const std::string& to, duration delay, instant now);

    network_model m_model;
    std::mt19937_64 m_random;
    std::map<std::pair<std::string, std::string>, instant> m_lastArrival;
};

} // namespace kumquat_bench
