#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// A priority level. Rank 0 is the highest; a larger rank yields to a smaller one.
struct tier {
    std::string name;
    std::uint32_t rank = 0;
};

// Latency targets of a class. An absent target is not measured.
struct latency_targets {
    std::optional<std::chrono::milliseconds> firstToken;
    std::optional<std::chrono::milliseconds> betweenTokens;
    std::optional<std::chrono::milliseconds> total;
};

// A class of requests that share targets, priority and repeatability.
struct request_class {
    std::string name;
    std::string tier;
    std::uint32_t tierRank = 0;
    latency_targets targets;
    // A request that is not repeatable runs at most once.
    bool repeatable = true;
    // A request whose answer is worthless after its target is refused early instead of waiting in vain.
    bool lateIsUseless = false;
    // Share of freed slots (0 to 1) that the class receives while it has work waiting.
    double guaranteedShare = 0.02;
    // First guess of the output length, in tokens, until lengths have been learned.
    std::uint32_t expectedTokens = 128;
};

// Limits of one organisation over the whole fleet. Zero means unlimited.
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
    // Whether the upstreams refuse an order that carries an old fencing number.
    bool checksFencing = false;
};

// Assigns a class to requests that name none. Empty matchers match everything; the first matching rule wins.
struct class_rule {
    std::string organisation;
    std::string service;
    std::string pathPrefix;
    std::string className;
};

// The whole configuration in force.
struct document {
    // Grows by one with every accepted publication; a node never returns to a smaller one.
    std::uint64_t generation = 0;
    std::vector<tier> tiers;
    std::vector<request_class> classes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    std::vector<class_rule> rules;
};

} // namespace kumquat
