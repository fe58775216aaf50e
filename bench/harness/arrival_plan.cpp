#include "bench/harness/arrival_plan.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace kumquat_bench {

namespace {

    using random_engine = std::mt19937_64;

    duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    double toSeconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    const std::string& drawOrganisation(const deployment& site, random_engine& random)
    {
        std::vector<double> shares;
        for (const auto& item : site.organisations)
            shares.push_back(item.share);
        std::discrete_distribution<std::size_t> distribution(shares.begin(), shares.end());
        return site.organisations[distribution(random)].name;
    }

    // Draws the number of answer tokens from a log-normal distribution with the profile's mean.
    std::uint32_t drawLength(const traffic_profile& profile, random_engine& random)
    {
        if (profile.meanAnswerTokens == 0)
            return 0;
        const double deviation = profile.logLengthDeviation;
        std::lognormal_distribution<double> length(std::log(profile.meanAnswerTokens) - deviation * deviation / 2, deviation);
        return static_cast<std::uint32_t>(std::clamp(length(random), 1.0, static_cast<double>(profile.maxAnswerTokens)));
    }

    caller_record makeCaller(const scenario& plan, const std::string& className, const std::string& organisation, const std::string& body, random_engine& random)
    {
        caller_record caller;
        caller.profile = &plan.site.profileOf(className);
        caller.requestClass = plan.site.document->findClass(className);
        caller.organisation = organisation;
        caller.body = body;
        caller.bodyHash = kumquat::hashBytes(body);
        caller.sharedPrefixHash = kumquat::hashBytes(organisation + "/" + className);
        caller.answerTokens = drawLength(*caller.profile, random);
        return caller;
    }

    // Sets the time at which the caller disconnects: its timeout, or a random time if the scenario lets it disconnect.
    void drawDisconnectTime(const scenario& plan, caller_record& caller, random_engine& random)
    {
        if (caller.profile->firstTokenTimeout > duration::zero())
            caller.disconnectsAt = caller.arrival + caller.profile->firstTokenTimeout;
        if (std::bernoulli_distribution(plan.disconnectingShare)(random))
            caller.disconnectsAt = caller.arrival + fromSeconds(std::exponential_distribution<double>(1)(random));
    }

    void addPhaseCallers(const scenario& plan, const traffic_phase& phase, instant start, random_engine& random, std::vector<caller_record>& callers)
    {
        std::exponential_distribution<double> interarrivalSeconds(arrivalRate(plan, phase));
        for (double arrivalSeconds = toSeconds(phase.from) + interarrivalSeconds(random); arrivalSeconds < toSeconds(phase.until); arrivalSeconds += interarrivalSeconds(random)) {
            const auto organisation = phase.organisation.empty() ? drawOrganisation(plan.site, random) : phase.organisation;
            auto caller = makeCaller(plan, phase.className, organisation, "request " + std::to_string(callers.size()), random);
            caller.arrival = start + fromSeconds(arrivalSeconds);
            drawDisconnectTime(plan, caller, random);
            callers.push_back(std::move(caller));
        }
    }

    // Adds one caller for each time at which the crashing request is sent. All have the same body.
    void addCrashingCaller(const scenario& plan, const crashing_caller& source, std::size_t number, instant start, random_engine& random, std::vector<caller_record>& callers)
    {
        const auto body = "crash " + std::to_string(number);
        const auto prototype = makeCaller(plan, source.className, source.organisation, body, random);
        for (auto offset = source.from; offset < source.until; offset += source.interval) {
            callers.push_back(prototype);
            callers.back().arrival = start + offset;
            callers.back().crashesEngine = true;
        }
    }

} // namespace

double arrivalRate(const scenario& plan, const traffic_phase& phase)
{
    if (phase.requestsPerSecond > 0)
        return phase.requestsPerSecond;
    return phase.capacityShare * plan.site.engines * engineCapacity(plan.site.engine, plan.site.profileOf(phase.className), letterBetweenTokensTarget);
}

std::vector<caller_record> planArrivals(const scenario& plan, instant start)
{
    random_engine random(plan.seed);
    std::vector<caller_record> callers;
    for (const auto& phase : plan.phases)
        addPhaseCallers(plan, phase, start, random, callers);
    for (std::size_t index = 0; index < plan.faults.size(); ++index) {
        if (const auto* source = std::get_if<crashing_caller>(&plan.faults[index]))
            addCrashingCaller(plan, *source, index, start, random, callers);
    }
    std::stable_sort(callers.begin(), callers.end(), [](const auto& left, const auto& right) { return left.arrival < right.arrival; });
    // The platform's load balancer distributes the callers evenly at random over the entries.
    for (auto& caller : callers)
        caller.entry = static_cast<std::uint32_t>(random() % plan.site.entries);
    return callers;
}

} // namespace kumquat_bench
