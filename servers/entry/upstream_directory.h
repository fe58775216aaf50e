#pragma once

#include "core/clock.h"
#include "core/instance.h"
#include "core/peer_message.h"
#include "servers/entry/prefix_memory.h"
#include "servers/entry/upstream_speed.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Work that this entry has sent since a report and that the report therefore lacks.
struct sent_load {
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;
};

// What an entry knows of one upstream.
struct upstream_state {
    std::string id;
    std::string address;
    std::string service;
    std::string dataCentre;
    bool listedLeaving = false;
    // When the upstream was first listed.
    instant knownSince;
    // Whether offers of ours stay unanswered; it then gets new work only when all others do too.
    bool unresponsive = false;
    std::optional<report> lastReport;
    instant reportedAt;
    // Requests that this entry has sent there and that have not ended.
    std::uint32_t ownInFlight = 0;
    // Requests sent since the last report, by tier rank.
    std::map<std::uint32_t, sent_load> sentSinceReport;
    upstream_speed speed;
    // Median tokens per second of one request among the service's upstreams; zero while unknown.
    double serviceRate = 0;
    prefix_memory prefixes;
};

// Joins the platform's late list of instances with the sidecars' fresh reports.
class upstream_directory {
public:
    explicit upstream_directory(std::chrono::milliseconds reportTimeout);

    void applyList(const std::vector<instance>&, instant now);
    // Returns false when the report comes from an upstream that the list does not name.
    bool applyReport(const report&, instant now);

    upstream_state* find(const std::string& id);
    // Returns the upstreams of a service that may receive new work: listed, reporting, healthy and not leaving by either
    // source. Unresponsive ones are among them only when there are no others.
    std::vector<upstream_state*> usable(const std::string& service, instant now);
    // The same of at most windowSize upstreams, found from the start position on, so that the cost of a request does not
    // grow with the service. Returns all of a service that is no larger.
    std::vector<upstream_state*> usableWindow(const std::string& service, std::uint64_t start, instant now);
    static constexpr std::size_t windowSize = 32;
    // Returns the upstreams that have sent no report for the report timeout.
    std::set<std::string> silent(instant now) const;
    void setReportTimeout(std::chrono::milliseconds timeout) { m_reportTimeout = timeout; }
    std::map<std::string, upstream_state>& all() { return m_upstreams; }
    const std::map<std::string, upstream_state>& all() const { return m_upstreams; }

private:
    void compareWithPeers(const std::string& service, instant now);
    std::vector<upstream_state*> collect(const std::vector<upstream_state*>& members, std::size_t start, std::size_t count, instant now) const;
    bool isUsable(const upstream_state&, instant now) const;

    std::chrono::milliseconds m_reportTimeout;
    std::map<std::string, upstream_state> m_upstreams;
    std::map<std::string, std::vector<upstream_state*>> m_byService;
    std::map<std::string, instant> m_comparedAt;
};

} // namespace kumquat
