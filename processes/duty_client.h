#pragma once

#include "core/duty_settings.h"
#include "drivers/asio/http_client.h"
#include "drivers/prometheus/metrics_registry.h"
#include "servers/duties/duty_effect.h"
#include "servers/duties/duty_event.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace kumquat {

// Sends the calls of the duties to the platform's store and API and reports their outcomes as events. A call whose connection is open
// too late, or after an interruption of the process, is not sent.
class duty_client {
public:
    // `interruptions` counts how often the process was suspended or stalled, including one that no event has reported yet.
    duty_client(reactor&, connection_guard&, metrics_registry&, std::function<std::uint64_t()> interruptions, std::function<void(duties::duty_event)> post);

    void start(const duties::call_duty_store&, const endpoint& store);
    void start(const duties::send_usage_report&, const endpoint& platformApi);
    void cancel(const duties::cancel_duty_call&);

private:
    enum class purpose {
        read_record,
        write_record,
        report_usage
    };

    // A call whose answer has not arrived completely.
    struct pending_call {
        purpose usedFor = purpose::read_record;
        http_answer_head head;
        std::string body;
    };

    http_client::handlers makeHandlers();
    void send(call_id, purpose, const endpoint& target, std::string bytes, instant sendBefore);
    void finish(call_id);
    void fail(call_id, const http_call_failure&);

    metrics_registry& m_metrics;
    std::function<std::uint64_t()> m_interruptions;
    std::function<void(duties::duty_event)> m_post;
    std::unordered_map<call_id, pending_call> m_calls;
    http_client m_client;
};

} // namespace kumquat
