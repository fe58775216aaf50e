#pragma once

#include "drivers/asio/http_client.h"
#include "drivers/prometheus/metrics_registry.h"
#include "servers/router/router_effect.h"
#include "servers/router/router_event.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace kumquat {

// Sends the router's calls to the platform's store and reports their outcomes as events.
class router_store_client {
public:
    router_store_client(reactor&, connection_guard&, metrics_registry&, std::function<void(router::router_event)> post);

    void start(const router::read_store&, const endpoint& store);
    void start(const router::call_refusal_store&, const endpoint& store);
    void cancel(const router::cancel_store_read&);

private:
    // What a call is for.
    enum class purpose {
        read_upstreams,
        read_config,
        list_refusals,
        write_refusal
    };

    // A call whose answer has not arrived completely.
    struct pending_call {
        purpose usedFor = purpose::read_upstreams;
        http_answer_head head;
        std::string body;
    };

    http_client::handlers makeHandlers();
    void send(call_id, purpose, const endpoint& store, std::string bytes);
    void finish(call_id);
    void refuseLargeAnswer(call_id, purpose usedFor);
    void fail(call_id, purpose, const std::string& reason);

    metrics_registry& m_metrics;
    std::function<void(router::router_event)> m_post;
    std::unordered_map<call_id, pending_call> m_calls;
    http_client m_client;
};

} // namespace kumquat
