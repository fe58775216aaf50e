#pragma once

#include "core/clock.h"
#include "servers/entry/routing_policy.h"
#include "servers/entry/upstream_directory.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Facts about a request that the choice of an upstream depends on.
struct selection_request {
    std::string service;
    std::uint32_t tierRank = 0;
    std::uint32_t expectedTokens = 0;
    // Hashes of growing prefixes of the prompt, shortest first.
    const std::vector<std::uint64_t>* prefixHashes = nullptr;
    // Upstreams that this request has already tried.
    const std::set<std::string>* tried = nullptr;
    // Whether an upstream has refused the request for want of room; the next choice then looks for lower work to displace.
    bool refusedForLoad = false;
};

// Chooses upstreams by one of the routing policies.
class upstream_selector {
public:
    upstream_selector(routing_policy, std::string dataCentre, std::uint64_t seed);

    // Chooses the upstream that every entry with the same candidates chooses for a fingerprint, so that one sidecar can
    // run the copies of a suspect one at a time. Returns null when no candidate is left untried.
    static upstream_state* selectHome(const std::vector<upstream_state*>& candidates, std::uint64_t fingerprint, const std::set<std::string>& tried);

    // Returns null when no candidate is left untried.
    upstream_state* select(const std::vector<upstream_state*>& candidates, const selection_request&, instant now);

private:
    using candidates = std::vector<upstream_state*>;

    upstream_state* choose(const round_robin_routing&, const candidates&, const selection_request&, instant now);
    static upstream_state* choose(const least_loaded_routing&, const candidates&, const selection_request&, instant now);
    upstream_state* choose(const expected_wait_routing&, const candidates&, const selection_request&, instant now);
    double costOf(const expected_wait_routing&, const upstream_state&, const selection_request&, instant now) const;
    upstream_state* drawFrom(const candidates&);

    routing_policy m_policy;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    // The upstream that the service's last request went to, by service.
    std::map<std::string, std::string> m_lastTurn;
};

} // namespace kumquat
