#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

// What the sheets of two deployments say about their requests and workers.

inline std::int64_t unixMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// A log-normal value with this mean, cut at the maximum.
struct lost_draw {
    double mean = 0;
    double spread = 0;
    double max = 0;

    double draw(std::mt19937& random) const
    {
        std::lognormal_distribution<double> distribution(std::log(std::max(mean, 0.001)) - spread * spread / 2, spread);
        return std::min(max, distribution(random));
    }
};

struct lost_class {
    std::string name;
    std::string kind;
    bool isResumable = false;
    double weight = 0;
    int deadlineMs = 0;
    int timeoutMs = 0;
    int sloMs = 0;
    int gapMs = 0;
    int attempts = 1;
    int priority = 0;
    lost_draw bodyBytes;
    // Of streams: their events, and the tokens of the shared and of the own part of their prompts.
    lost_draw pieces;
    lost_draw sharedTokens;
    int sharedParts = 1;
    lost_draw ownTokens;
    // Of all others: the time that the work takes.
    lost_draw workMs;
    double errorShare = 0;

    bool isStream() const { return kind == "streaming"; }
    bool isIdempotent() const { return kind == "idempotent" || isResumable; }
    std::string path() const { return "/" + name + "/"; }
    std::string service() const { return isStream() ? "engine" : "app"; }
};

struct lost_site {
    std::string name;
    double requestsPerSecond = 0;
    int memoryMb = 0;
    int engines = 0;
    int appWorkers = 0;
    int engineSlots = 0;
    int engineQueue = 0;
    int engineConnections = 0;
    double stepMs = 0;
    double stepMsPerSlot = 0;
    double prefillTokensPerMs = 0;
    int stride = 1;
    std::int64_t kvTokens = 0;
    std::vector<double> speeds;
    int eventBytes = 0;
    std::vector<lost_class> classes;

    // The engines are the first workers. Two more, the last ones, are of the service that a route is moved to.
    int workers() const { return engines + appWorkers + 2; }
    bool isEngine(int worker) const { return worker < engines || worker >= engines + appWorkers; }
};

inline constexpr int appSlots = 6;
inline constexpr int appQueue = 24;
inline constexpr int appConnections = 100;
inline constexpr int prefillChunkTokens = 2048;
inline constexpr int idleTimeoutMs = 15000;

// The mix and rates of the sheet. With -burst after the name the first kind of request comes 2.4 times as often, as in the sheet's bursts;
// with -short only short requests come, five times as often.
inline lost_site lostSite(const std::string& name)
{
    const auto dash = name.find('-');
    if (dash != std::string::npos) {
        constexpr double burst = 2.4;
        auto site = lostSite(name.substr(0, dash));
        double before = 0;
        double after = 0;
        for (auto& kind : site.classes) {
            before += kind.weight;
            if (name.ends_with("-short"))
                kind.weight = kind.isStream() ? 0 : 5 * kind.weight;
            else if (&kind == &site.classes.front())
                kind.weight *= burst;
            after += kind.weight;
        }
        site.requestsPerSecond *= after / before;
        return site;
    }
    const lost_draw largeBody { 17000, 0, 100000 };
    const lost_draw middleBody { 9200, 0, 55000 };
    const lost_draw smallBody { 1500, 0, 8700 };
    const lost_draw formBody { 600, 0.5, 3600 };
    if (name == "dhammasiri")
        return { name, 42, 110, 9, 4, 64, 192, 360, 5.61, 0.121, 54.6, 3, 438321, { 1.0, 1.0, 1.3 }, 45,
            { { "sermon-digest", "streaming", true, 12.7, 12000, 12000, 2000, 800, 2, 2, largeBody, { 39.9, 1.4, 160 }, { 13300, 0.7, 39900 }, 48, { 3720, 1.1, 53200 } },
                { "passage-qa", "streaming", false, 9.25, 6000, 6000, 600, 300, 1, 1, middleBody, { 17.4, 1.4, 69.4 }, { 6300, 0.6, 17590 }, 78, { 2890, 1.0, 39600 } },
                { "title-search", "streaming", true, 13.1, 15000, 15000, 400, 200, 2, 0, smallBody, { 57.4, 0.89, 200 }, { 350, 0.5, 943 }, 111, { 1110, 1.0, 3790 } },
                { "donor-receipt", "non_idempotent", false, 8.76, 1000, 1000, 100, 0, 1, 2, formBody, {}, {}, 1, {}, { 15, 0.5, 110 }, 0.004 },
                { "archive-lookup", "idempotent", false, 8, 1000, 1000, 100, 0, 2, 2, {}, {}, {}, 1, {}, { 15, 0.5, 110 }, 0.14 } } };
    return { "nkabom", 168, 260, 12, 3, 128, 268, 620, 3.55, 0.0462, 157, 5, 1221218, { 1.0 }, 55,
        { { "shift-handover", "streaming", true, 50.2, 8000, 8000, 1000, 600, 2, 2, largeBody, { 23.9, 1.4, 95.8 }, { 13300, 0.7, 39900 }, 284, { 3720, 1.1, 53200 } },
            { "incident-brief", "streaming", false, 37.5, 5000, 5000, 300, 250, 1, 1, middleBody, { 10.4, 1.4, 41.7 }, { 6300, 0.6, 17590 }, 141, { 2890, 1.0, 39600 } },
            { "round-checklist", "streaming", true, 54, 10000, 10000, 250, 150, 2, 0, smallBody, { 34.5, 0.89, 120 }, { 350, 0.5, 943 }, 306, { 1110, 1.0, 3790 } },
            { "gate-pass", "non_idempotent", false, 35.4, 1500, 800, 300, 0, 1, 2, formBody, {}, {}, 1, {}, { 60, 0.5, 450 }, 0.004 },
            { "roster-read", "idempotent", false, 14.2, 1500, 800, 300, 0, 2, 2, {}, {}, {}, 1, {}, { 60, 0.5, 450 }, 0.14 } } };
}
