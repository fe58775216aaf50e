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

// How often a request may run.
enum class repeatability { idempotent,
    at_most_once };

// The part of a route's requests that goes to one service.
struct service_share {
    std::string service;
    int weight = 1;
};

// Which requests go where, and on what terms.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::vector<service_share> services;
    repeatability kind = repeatability::at_most_once;
    // The answer is a series of server-sent events.
    bool streaming = false;
    // A broken stream may go on at another upstream after the last event that was delivered.
    bool resumable = false;
    // Callers need no key.
    bool anonymous = false;
    // Requests name the parts of their prompt, and upstreams keep parts that they have read.
    bool usesPromptCache = false;
    // The most upstreams that may run one request.
    int maxAttempts = 1;
    // Rank 0 is the most urgent.
    int rank = 0;
    // A request is answered by then, whatever the answer is.
    duration timeout = std::chrono::seconds(30);
    // An answer within this time earns its full worth; for a stream, its first event.
    duration target = std::chrono::seconds(1);
    // The longest pause between events of a stream that is in time.
    duration eventGapTarget = std::chrono::seconds(1);

    // A request on this route may be sent to a second upstream although the first may have run it.
    bool repeatable() const { return streaming ? resumable : kind == repeatability::idempotent; }
};

// What a model engine can hold.
struct engine_capacity {
    // Requests in one batch.
    int slots = 0;
    // Tokens of running requests and kept prompt parts together.
    std::int64_t memoryTokens = 0;
    // Tokens in one event of a stream.
    int tokensPerEvent = 1;
};

struct service_config {
    std::string name;
    // Connections that an upstream accepts from all entries together.
    int maxConnections = 0;
    std::optional<engine_capacity> engine;
};

struct organisation_config {
    std::string name;
    // Goes before the rank of the route.
    std::optional<int> rank;
};

// What a caller may send and how long it may take.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4 << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

// One configuration of the operator, whole and immutable.
class routing_config {
public:
    std::uint64_t version = 0;
    caller_limits limits;
    // The configuration lists organisations, so that a request without a known key is refused.
    bool requiresKeys = false;
    // Organisations by API key.
    std::unordered_map<std::string, organisation_config> keys;
    std::unordered_map<std::string, service_config> services;

    void addRoute(route);
    std::size_t routeCount() const { return m_routes.size(); }
    // By host and prefix, in no order.
    const std::unordered_map<std::string, route>& routes() const { return m_routes; }
    // Returns the route of that host with the longest prefix of the path, or null.
    const route* match(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, route> m_routes;
};

using shared_config = std::shared_ptr<const routing_config>;

} // namespace kumquat
