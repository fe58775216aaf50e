#include "bench/harness/message_network.h"

#include <algorithm>

namespace kumquat_bench {

namespace {

    // Longest extra delay by which a reordering network holds back a message.
    constexpr std::chrono::duration<double> maxReorderDelay { 0.3 };

} // namespace

message_network::message_network(network_model model, std::uint64_t seed)
    : m_model(model)
    , m_random(seed)
{
}

void message_network::disableFaults()
{
    m_model.loss = 0;
    m_model.duplication = 0;
    m_model.reorders = false;
}

instant message_network::drawArrivalTime(const std::string& from, const std::string& to, duration delay, instant now)
{
    const double meanJitter = std::chrono::duration<double>(m_model.meanJitter).count();
    std::chrono::duration<double> jitter(std::exponential_distribution<double>(1 / meanJitter)(m_random));
    if (m_model.reorders && std::bernoulli_distribution(0.2)(m_random))
        jitter += maxReorderDelay * std::uniform_real_distribution<double>()(m_random);
    auto arrivalTime = now + delay + std::chrono::duration_cast<duration>(jitter);
    if (m_model.reorders)
        return arrivalTime;
    auto& last = m_lastArrival[{ from, to }];
    arrivalTime = std::max(arrivalTime, last);
    last = arrivalTime;
    return arrivalTime;
}

std::vector<instant> message_network::arrivalTimes(const std::string& from, const std::string& to, duration delay, instant now)
{
    std::vector<instant> arrivals;
    if (std::bernoulli_distribution(m_model.loss)(m_random))
        return arrivals;
    arrivals.push_back(drawArrivalTime(from, to, delay, now));
    if (std::bernoulli_distribution(m_model.duplication)(m_random))
        arrivals.push_back(drawArrivalTime(from, to, delay, now));
    return arrivals;
}

} // namespace kumquat_bench
