#pragma once

#include "drivers/prometheus/metrics_registry.h"
#include "servers/usage/usage_exchange.h"

#include <functional>

namespace kumquat {

// Connects the exchange of usage counts to the clocks, the datagrams, the log and the metrics.
class usage_port {
public:
    // Sends a datagram to the router at an address.
    using datagram_sender = std::function<void(const std::string& address, const std::string& bytes)>;

    usage_port(metrics_registry&, usage::usage_options, datagram_sender);

    void setSettings(const std::optional<usage_settings>& settings) { m_exchange.setSettings(settings); }
    void receive(const std::string& host, const std::string& bytes);
    void receive(const router_digest&);
    void addTo(router_digest&);
    void recordRun(const std::string& organisation, instant startedAt);
    void publish(const duty_announcement&);
    void resumeAfterSuspension(duration gap);
    void resumeAfterStall();
    // Has to be called at nextDeadline().
    void passTime();
    std::optional<instant> nextDeadline() const { return m_exchange.nextDeadline(); }
    const usage::usage_exchange& exchange() const { return m_exchange; }

private:
    void execute(const usage::usage_effects&);

    metrics_registry& m_metrics;
    usage::usage_exchange m_exchange;
    datagram_sender m_send;
};

} // namespace kumquat
