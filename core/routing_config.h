#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat {

// How often a request may be executed.
enum class repeatability { idempotent,
    at_most_once };

// The share of a route's requests that goes to one service: its weight divided by the sum of the weights.
struct service_share {
    std::string service;
    int weight = 1;

    bool operator==(const service_share&) const = default;
};

// Assigns the requests of a host and path prefix to services, with the limits and targets that apply to them.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::vector<service_share> services;
    repeatability kind = repeatability::at_most_once;
    // Whether the answer is a stream of server-sent events.
    bool streaming = false;
    // Whether a broken stream can be continued by another upstream after the last event that the caller has received.
    bool resumable = false;
    // Whether callers need no API key.
    bool anonymous = false;
    // Whether requests name the parts of their prompt and upstreams cache the parts that they have processed.
    bool usesPromptCache = false;
    // Maximum number of upstreams that may execute one request.
    int maxAttempts = 1;
    // Priority; rank 0 is the most urgent.
    int rank = 0;
    // Time from the arrival of a request after which the router answers it with an error if there is no other answer.
    duration timeout = std::chrono::seconds(30);
    // Latency objective of the answer; for a stream, of its first event.
    duration latencyTarget = std::chrono::seconds(1);
    // Objective for the time between consecutive events of a stream.
    duration eventGapTarget = std::chrono::seconds(1);

    // Whether a request may be sent to another upstream although an earlier one may have executed it.
    bool repeatable() const { return streaming ? resumable : kind == repeatability::idempotent; }
};

// Capacity of one model engine.
struct engine_capacity {
    // Number of requests in one batch.
    int slots = 0;
    // Tokens of running requests and cached prompt parts together.
    std::int64_t kvCacheTokens = 0;
    // Number of tokens in one event of a stream.
    int tokensPerEvent = 1;
};

struct service_config {
    std::string name;
    // Number of connections that an upstream accepts from all routers together.
    int maxConnections = 0;
    std::optional<engine_capacity> engine;
};

struct organisation_config {
    std::string name;
    // Compared before the rank of the route when requests are ordered by urgency.
    std::optional<int> rank;
};

// Limits on the size of callers' requests and on the time to receive them.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4 << 20;
    // Number of header fields; zero for as many as the header's bytes can hold.
    std::size_t headerFields = 0;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

// One complete configuration of the operator. It is not changed once it is in use.
class routing_config {
public:
    std::uint64_t version = 0;
    caller_limits limits;
    // Whether the configuration has a list of organisations, be it empty. If so, a request without a valid key is refused unless its route
    // is anonymous.
    bool requiresKeys = false;
    // Organisations by API key.
    std::unordered_map<std::string, organisation_config> keys;
    std::unordered_map<std::string, service_config> services;

    void addRoute(route);
    std::size_t routeCount() const { return m_routes.size(); }
    // The routes by host and path prefix, in no particular order.
    const std::unordered_map<std::string, route>& routes() const { return m_routes; }
    // Returns the route of the host with the longest path prefix that matches, or null. Prefixes end with a slash.
    const route* match(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, route> m_routes;
    std::size_t m_longestPrefix = 0;
};

using shared_config = std::shared_ptr<const routing_config>;

} // namespace kumquat
