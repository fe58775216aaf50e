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

// Properties of a request that determine the selection of an upstream.
struct selection_request {
    std::string service;
    std::uint32_t tierRank = 0;
    std::uint32_t expectedTokens = 0;
    // Hashes of growing prefixes of the prompt, shortest first; may be null.
    const std::vector<std::uint64_t>* prefixHashes = nullptr;
    // Ids of the upstreams that the request has already been offered to; may be null.
    const std::set<std::string>* triedUpstreams = nullptr;
    // Whether an upstream has refused the request. The selection then prefers upstreams with work of a lower tier that the
    // request can displace.
    bool refusedForLoad = false;
};

// Selects upstreams by one of the routing policies.
class upstream_selector {
public:
    upstream_selector(routing_policy, std::string dataCentre, std::uint64_t seed);

    // Selects an upstream by rendezvous hashing of the fingerprint. All entries with the same candidates select the same one,
    // so that its sidecar can run the requests of a suspect fingerprint one at a time. Returns null when all candidates have
    // been tried.
    static upstream_state* selectByFingerprint(const std::vector<upstream_state*>& candidates, std::uint64_t fingerprint, const std::set<std::string>& triedUpstreams);

    // Selects an upstream by the policy. Returns null when all candidates have been tried.
    upstream_state* select(const std::vector<upstream_state*>& candidates, const selection_request&, instant now);

private:
    using candidates = std::vector<upstream_state*>;

    upstream_state* selectBy(const round_robin_routing&, const candidates&, const selection_request&, instant now);
    static upstream_state* selectBy(const least_loaded_routing&, const candidates&, const selection_request&, instant now);
    upstream_state* selectBy(const expected_wait_routing&, const candidates&, const selection_request&, instant now);
    double expectedCostSeconds(const expected_wait_routing&, const upstream_state&, const selection_request&, instant now) const;
    upstream_state* sample(const candidates&);

    routing_policy m_policy;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    // By service: id of the upstream that round robin selected last.
    std::map<std::string, std::string> m_lastSelected;
};

} // namespace kumquat
