#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// A priority level. Rank 0 is the highest priority; requests of a smaller rank go before those of a larger rank.
struct tier {
    std::string name;
    std::uint32_t rank = 0;
};

// Latency targets of a class. An absent target is neither measured nor considered by the scheduler.
struct latency_targets {
    std::optional<std::chrono::milliseconds> firstToken;
    std::optional<std::chrono::milliseconds> betweenTokens;
    std::optional<std::chrono::milliseconds> total;
};

// A class of requests that share latency targets, priority and repeatability.
struct request_class {
    std::string name;
    std::string tier;
    std::uint32_t tierRank = 0;
    latency_targets targets;
    // Whether a request may be run again after a failure. A request that is not repeatable runs at most once.
    bool repeatable = true;
    // Whether an answer that misses the latency target has no value to the caller. Such a request is refused as soon as
    // the target appears unreachable instead of waiting in the queue.
    bool lateIsUseless = false;
    // Share (0 to 1) of the slots that become free which the class receives while it has requests queued.
    double guaranteedShare = 0.02;
    // Estimate of the output length in tokens that is used until output lengths of the class have been measured.
    std::uint32_t expectedTokens = 128;
};

// Limits of one organisation, summed over all entries. Zero means unlimited.
struct organisation_limits {
    double requestsPerSecond = 0;
    double burst = 0;
    std::uint32_t concurrency = 0;
};

struct organisation {
    std::string name;
    // SHA-256 digests of the API keys, in lower-case hexadecimal.
    std::vector<std::string> keyDigests;
    organisation_limits limits;
};

enum class service_kind { engine,
    plain };

// A group of interchangeable upstreams.
struct service {
    std::string name;
    service_kind kind = service_kind::engine;
    std::vector<std::string> models;
    // Whether the upstreams refuse a request that carries an outdated fencing token.
    bool checksFencing = false;
};

// Assigns a class to requests that name none. A rule matches when all its non-empty matchers match; the first matching
// rule applies.
struct class_rule {
    std::string organisation;
    std::string service;
    std::string pathPrefix;
    std::string className;
};

// The complete configuration that is in force.
struct document {
    // Increases by one with every accepted publication. A node never replaces its document by one of a smaller
    // generation.
    std::uint64_t generation = 0;
    std::vector<tier> tiers;
    std::vector<request_class> classes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    std::vector<class_rule> rules;
};

} // namespace kumquat
