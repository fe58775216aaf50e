#pragma once

#include "core/clock.h"
#include "core/instance.h"
#include "core/peer_message.h"
#include "servers/entry/prefix_cache_model.h"
#include "servers/entry/upstream_speed.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Work that this entry has sent to an upstream since its last report, which therefore does not contain it.
struct unreported_load {
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;
};

// State of one upstream as seen by this entry.
struct upstream_state {
    std::string id;
    std::string address;
    std::string service;
    std::string dataCentre;
    bool listedLeaving = false;
    // When the upstream was first listed.
    instant firstListedAt;
    // Whether offers of this entry stay unanswered. The upstream then receives new requests only when all others of its
    // service are unresponsive too.
    bool unresponsive = false;
    std::optional<report> lastReport;
    instant reportedAt;
    // Requests of this entry at the upstream that have not ended.
    std::uint32_t ownInFlight = 0;
    // Requests sent since the last report, by tier rank.
    std::map<std::uint32_t, unreported_load> unreportedLoad;
    upstream_speed speed;
    // Median over the service's upstreams of the output tokens per second of one request; zero while unknown.
    double medianServiceRate = 0;
    prefix_cache_model prefixCache;
};

// The upstreams that this entry uses. It combines the platform's list of instances, which lags behind, with the sidecars'
// reports, which are recent.
class upstream_directory {
public:
    explicit upstream_directory(std::chrono::milliseconds reportTimeout);

    // Adds and updates the listed sidecars and removes the others, except those with requests of this entry in flight.
    void applyList(const std::vector<instance>&, instant now);
    // Stores a report. Returns false when the list does not contain the upstream that sent it.
    bool applyReport(const report&, instant now);

    // Returns null when the upstream is unknown.
    upstream_state* find(const std::string& id);
    // Returns the upstreams of a service that may receive new requests: listed, reporting, healthy, and leaving neither
    // according to the list nor to their report. Includes unresponsive ones only when there are no others.
    std::vector<upstream_state*> usable(const std::string& service, instant now);
    // Like usable(), but checks only windowSize consecutive upstreams from the start position on (modulo their number), so
    // that the cost of a request does not grow with the service. Checks all of a service that has no more than that.
    std::vector<upstream_state*> usableWindow(const std::string& service, std::uint64_t start, instant now);
    static constexpr std::size_t windowSize = 32;
    // Returns the ids of the upstreams that have sent no report for the report timeout.
    std::set<std::string> findNotReporting(instant now) const;
    void setReportTimeout(std::chrono::milliseconds timeout) { m_reportTimeout = timeout; }
    std::map<std::string, upstream_state>& all() { return m_upstreams; }
    const std::map<std::string, upstream_state>& all() const { return m_upstreams; }

private:
    // Updates the speed weights and the median rate of a service's upstreams.
    void compareWithPeers(const std::string& service, instant now);
    std::vector<upstream_state*> collectUsable(const std::vector<upstream_state*>& members, std::size_t start, std::size_t count, instant now) const;
    bool isUsable(const upstream_state&, instant now) const;

    std::chrono::milliseconds m_reportTimeout;
    std::map<std::string, upstream_state> m_upstreams;
    std::map<std::string, std::vector<upstream_state*>> m_byService;
    std::map<std::string, instant> m_comparedAt;
};

} // namespace kumquat
