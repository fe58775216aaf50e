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

// Performance model of an inference engine with continuous batching. One iteration generates one token for every decoding
// request.
struct engine_model {
    std::uint32_t maxBatchSize = 32;
    // The duration of an iteration is iterationBaseTime, plus iterationTimePerRequest for each decoding request, plus
    // the time for the tokens prefilled in it.
    duration iterationBaseTime = std::chrono::milliseconds { 12 };
    duration iterationTimePerRequest = std::chrono::microseconds { 600 };
    double prefillTokensPerSecond = 20000;
    std::uint32_t prefillTokensPerIteration = 256;
    // Capacity of the prefix cache in prompt prefixes.
    std::uint32_t maxCachedPrefixes = 8;
    // Time from a crash until the engine accepts calls again.
    duration restartTime = std::chrono::seconds { 10 };
};

// Request and answer sizes of one class, and how long its callers wait.
struct traffic_profile {
    std::string className;
    // Mean length of an answer in tokens. Zero marks a class that calls the plain service.
    double meanAnswerTokens = 0;
    // Standard deviation of the logarithm of the answer's length.
    double logLengthDeviation = 0.4;
    std::uint32_t maxAnswerTokens = 4000;
    std::uint32_t promptTokens = 0;
    // Length of the prompt prefix that all requests of one organisation and class have in common.
    std::uint32_t sharedPromptTokens = 0;
    // Number of tokens in each chunk that the engine streams.
    std::uint32_t tokensPerChunk = 4;
    // Mean time that a plain service needs for one call.
    duration serviceTime = std::chrono::milliseconds { 80 };
    // The caller's timeout: it disconnects if it has no first token by then. Zero means no timeout.
    duration firstTokenTimeout = duration::zero();
};

// The fraction of the traffic that one organisation sends.
struct organisation_share {
    std::string name;
    double share = 0;
};

// A platform on which the product runs: its services, fleet sizes, organisations and traffic profiles.
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
    // Maximum number of attempts in the queue of one sidecar.
    std::uint32_t queueLimit = 1024;
    std::vector<organisation_share> organisations;
    std::vector<traffic_profile> profiles;

    // Returns the profile of a class. Aborts the process if there is none.
    const traffic_profile& profileOf(const std::string& className) const;
};

// Poisson arrivals of one class during part of the scenario.
struct traffic_phase {
    std::string className;
    duration from = duration::zero();
    duration until = duration::zero();
    // Load as a fraction of the rate that the fleet's engines sustain if they serve this class alone. Used if
    // requestsPerSecond is zero; plain services have no such rate and need requestsPerSecond.
    double capacityShare = 0;
    double requestsPerSecond = 0;
    // The organisation of all callers. Empty means that each caller's organisation is drawn by the configured shares.
    std::string organisation;
};

// The engine aborts all its runs and is down for engine_model::restartTime.
struct engine_crash {
    duration at = duration::zero();
    std::uint32_t engine = 0;
};

// The engine's iterations take `factor` times as long for the rest of the scenario.
struct engine_slowdown {
    duration at = duration::zero();
    std::uint32_t engine = 0;
    double factor = 1;
};

// The platform asks the sidecar to shut down gracefully.
struct sidecar_drain {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
};

// The sidecar process restarts without a drain, and its connections to the upstream close.
struct sidecar_restart {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
};

// The entry process restarts, and its callers lose their connections.
struct entry_restart {
    duration at = duration::zero();
    std::uint32_t entry = 0;
};

// The sidecar process handles nothing for `length` and then everything that arrived in the meantime.
struct sidecar_pause {
    duration at = duration::zero();
    std::uint32_t sidecar = 0;
    duration length = duration::zero();
};

// The entry process handles nothing for `length` and then everything that arrived in the meantime.
struct entry_pause {
    duration at = duration::zero();
    std::uint32_t entry = 0;
    duration length = duration::zero();
};

// A caller whose request crashes every engine that decodes it and which sends the same request again at each interval.
struct crashing_caller {
    duration from = duration::zero();
    duration until = duration::zero();
    duration interval = std::chrono::seconds { 1 };
    std::string className;
    std::string organisation;
};

using fault = std::variant<engine_crash, engine_slowdown, sidecar_drain, sidecar_restart, entry_restart, sidecar_pause, entry_pause, crashing_caller>;

// Faults and latency of the network between the processes.
struct network_model {
    // Probability that a message is lost, and that it is delivered twice.
    double loss = 0;
    double duplication = 0;
    // Whether messages overtake each other. If not, each pair of processes delivers in order, as a TCP connection does.
    bool reorders = false;
    duration meanJitter = std::chrono::microseconds { 100 };
    // Additional delay of every load report.
    duration reportDelay = duration::zero();
    // Time until a change of the platform's instance list reaches the entries.
    duration instanceListDelay = std::chrono::seconds { 5 };
};

// A reproducible simulation run: the deployment, its load, and the faults that occur.
struct scenario {
    std::string name;
    deployment site;
    duration length = std::chrono::seconds { 120 };
    std::vector<traffic_phase> phases;
    std::vector<fault> faults;
    network_model network;
    // Fraction of callers that disconnect at a random time, even during their answer.
    double disconnectingShare = 0;
    // Whether engines crash in this scenario. If so, the bound on wasted tokens is not checked, because tokens lost in a
    // crash are no waste of the router.
    bool hasEngineCrashes = false;
    // Whether the bound on the attainment of letterFirstTokenTarget and letterBetweenTokensTarget is checked.
    bool checksLetterTargets = false;
    std::uint64_t seed = 1;
};

// A routing policy of the entries together with a scheduling policy of the sidecars, compared as one in the bench.
struct compared_policy {
    std::string name;
    kumquat::routing_policy routing;
    kumquat::scheduling_policy scheduling;
};

// Returns round robin with FIFO, least loaded with priority, and, as the last one, the product's policy.
std::vector<compared_policy> comparedPolicies();

// Returns the requests per second of one class that an engine sustains while the mean time between tokens is at most
// betweenTokens.
double engineCapacity(const engine_model&, const traffic_profile&, duration betweenTokens);

// Latency targets stated in the users' letter: time to first token and mean time between tokens.
constexpr std::chrono::milliseconds letterFirstTokenTarget { 530 };
constexpr std::chrono::milliseconds letterBetweenTokensTarget { 26 };

} // namespace kumquat_bench
