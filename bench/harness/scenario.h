#pragma once

#include "core/clock.h"
#include "core/document_index.h"
#include "servers/entry/routing_policy.h"
#include "servers/sidecar/scheduling_policy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat_bench {

using kumquat::duration;
using kumquat::instant;

// Speed of a continuously batching engine. One iteration yields one token for every decoding request.
struct engine_model {
    std::uint32_t maximumBatch = 32;
    // Length of an iteration: a constant, a part for each decoding request, and the prefill work done in it.
    duration iterationBase = std::chrono::milliseconds { 12 };
    duration iterationPerRequest = std::chrono::microseconds { 600 };
    double prefillTokensPerSecond = 20000;
    std::uint32_t prefillTokensPerIteration = 256;
    // Prompt prefixes that fit in the cache.
    std::uint32_t cachedPrefixes = 8;
    // Time from a crash until the engine answers again.
    duration restartTime = std::chrono::seconds { 10 };
};

// How callers of one class behave and what their answers look like.
struct traffic_profile {
    std::string className;
    // Zero marks a call to a plain service.
    double meanTokens = 0;
    // Spread of the logarithm of the length.
    double lengthSpread = 0.4;
    std::uint32_t maximumTokens = 4000;
    std::uint32_t promptTokens = 0;
    // Part of the prompt that all requests of one organisation and class share.
    std::uint32_t sharedPromptTokens = 0;
    // The engine sends its output in pieces of this many tokens.
    std::uint32_t tokensPerChunk = 4;
    // Mean time that a plain service needs.
    duration serviceTime = std::chrono::milliseconds { 80 };
    // A caller without a first token leaves after this time; zero means that it stays.
    duration patience = duration::zero();
};

struct organisation_share {
    std::string name;
    double share = 0;
};

// One of the users' platforms with its services, sizes and callers.
struct deployment {
    std::string name;
    kumquat::document_ptr document;
    std::uint32_t entries = 3;
    std::vector<std::string> dataCentres;
    duration oneWayDelay = std::chrono::milliseconds { 1 };
    std::string engineService;
    std::string model;
    std::uint32_t engines = 0;
    engine_model engine;
    std::string plainService;
    std::uint32_t plainWorkers = 0;
    // Most attempts that wait at one sidecar.
    std::uint32_t queueLimit = 1024;
    std::vector<organisation_share> organisations;
    std::vector<traffic_profile> profiles;

    const traffic_profile& profileOf(const std::string& className) const;
};

// Poisson arrivals of one class over a span of time.
struct traffic_phase {
    std::string className;
    duration from = duration::zero();
    duration until = duration::zero();
    // Share of the fleet's capacity for this class alone; for plain services requestsPerSecond counts instead.
    double ofCapacity = 0;
    double requestsPerSecond = 0;
    // Empty means all organisations by their shares.
    std::string organisation;
};

struct engine_crash {
    duration at = duration::zero();
    std::uint32_t engine = 0;
};

struct engine_slowdown {
    duration at = duration::zero();
    std::uint32_t engine = 0;
    double factor = 1;
};

struct sidecar_drain {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
};

// The sidecar's process is replaced; its connections to the upstream close.
struct sidecar_restart {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
};

// The entry's process is replaced; its callers lose their connections.
struct entry_restart {
    duration at = duration::zero();
    std::uint32_t entry = 0;
};

struct sidecar_pause {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
    duration length = duration::zero();
};

struct entry_pause {
    duration at = duration::zero();
    std::uint32_t entry = 0;
    duration length = duration::zero();
};

// A caller whose request crashes every engine that runs it, sent again after each interval.
struct crashing_caller {
    duration from = duration::zero();
    duration until = duration::zero();
    duration interval = std::chrono::seconds { 1 };
    std::string className;
    std::string organisation;
};

using fault = std::variant<engine_crash, engine_slowdown, sidecar_drain, sidecar_restart, entry_restart, sidecar_pause, entry_pause, crashing_caller>;

struct network_model {
    double loss = 0;
    double duplication = 0;
    // Without reordering each pair of processes delivers in order, as a TCP connection does.
    bool reorders = false;
    duration meanJitter = std::chrono::microseconds { 100 };
    // Added to every load report.
    duration reportDelay = duration::zero();
    // Lag of the platform's list of instances.
    duration listDelay = std::chrono::seconds { 5 };
};

struct scenario {
    std::string name;
    deployment site;
    duration length = std::chrono::seconds { 120 };
    std::vector<traffic_phase> phases;
    std::vector<fault> faults;
    network_model network;
    // Share of callers that leave at a random moment.
    double leavingCallers = 0;
    // Work lost with a crashed engine is not the router's waste.
    bool crashesEngines = false;
    // Whether the letter's latency targets are compared with the measured ones.
    bool comparesLetter = false;
    std::uint64_t seed = 1;
};

// The pair of policies under comparison.
struct policy_choice {
    std::string name;
    kumquat::routing_policy routing;
    kumquat::scheduling_policy scheduling;
};

// Returns round robin with first in first out, least loaded with priority, and the product's policy.
std::vector<policy_choice> comparedPolicies();

// Returns the requests a second of one class that an engine carries while the time between tokens stays within the target.
double engineCapacity(const engine_model&, const traffic_profile&, duration betweenTokens);

// The letter's targets: first token within 0.53 s and 26 ms between tokens.
constexpr std::chrono::milliseconds letterFirstToken { 530 };
constexpr std::chrono::milliseconds letterBetweenTokens { 26 };

} // namespace kumquat_bench
