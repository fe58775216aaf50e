#include "bench/harness/measurement.h"

#include "bench/harness/arrival_plan.h"

#include <algorithm>
#include <map>

namespace kumquat_bench {

using namespace kumquat;

namespace {

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    double percentile95(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        const auto position = (values.size() * 95 + 99) / 100 - 1;
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
        return values[position];
    }

    bool isLimited(const caller_record& caller)
    {
        return caller.outcome == caller_outcome::failed && (caller.error == error_code::rate_limited || caller.error == error_code::too_many_in_flight);
    }

    bool meetsLetterTargets(const caller_record& caller)
    {
        return caller.outcome == caller_outcome::answered && caller.wait() <= letterFirstTokenTarget && caller.betweenTokens() <= letterBetweenTokensTarget;
    }

    // Returns the fraction of the fleet's engine capacity that no fault of the scenario takes away.
    double remainingCapacityShare(const scenario& plan)
    {
        std::vector<double> speed(plan.site.engines, 1);
        for (const auto& item : plan.faults) {
            if (const auto* crash = std::get_if<engine_crash>(&item))
                speed[crash->engine] = 0;
            else if (const auto* drain = std::get_if<sidecar_drain>(&item); drain && drain->sidecar < speed.size())
                speed[drain->sidecar] = 0;
            else if (const auto* slowdown = std::get_if<engine_slowdown>(&item))
                speed[slowdown->engine] = std::min(speed[slowdown->engine], 1 / slowdown->factor);
        }
        double sum = 0;
        for (const auto value : speed)
            sum += value;
        return sum / plan.site.engines;
    }

    // Returns the peak load of one class as a fraction of the fleet's capacity.
    double peakDemand(const scenario& plan, const std::string& className)
    {
        double peak = 0;
        for (const auto& startingPhase : plan.phases) {
            double sum = 0;
            for (const auto& phase : plan.phases) {
                if (phase.className == className && phase.from <= startingPhase.from && startingPhase.from < phase.until)
                    sum += phase.capacityShare;
            }
            peak = std::max(peak, sum);
        }
        return peak;
    }

    // A change in the number of callers that wait for a first token, or the completion of an answer.
    struct waiting_count_change {
        instant time;
        int waitingDelta = 0;
        bool isCompletion = false;
    };

    // Returns the longest time in seconds during which callers waited and no answer completed.
    double longestStarvation(const std::vector<const caller_record*>& callers)
    {
        std::vector<waiting_count_change> changes;
        for (const auto* caller : callers) {
            changes.push_back({ caller->arrival, 1, false });
            changes.push_back({ std::min(caller->firstTokenAt.value_or(caller->endedAt), caller->endedAt), -1, false });
            if (caller->outcome == caller_outcome::answered)
                changes.push_back({ caller->endedAt, 0, true });
        }
        std::stable_sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) { return left.time < right.time; });
        int waiting = 0;
        instant gapStart;
        duration longest = duration::zero();
        for (const auto& change : changes) {
            if (waiting > 0)
                longest = std::max(longest, change.time - gapStart);
            if (change.isCompletion || waiting == 0)
                gapStart = change.time;
            waiting += change.waitingDelta;
        }
        return seconds(longest);
    }

    class_results measureClass(const scenario& plan, const std::string& name, const std::vector<const caller_record*>& callers)
    {
        const auto& first = *callers.front();
        class_results results;
        results.name = name;
        results.tierRank = first.requestClass->tierRank;
        results.isPlain = first.isPlain();
        results.demandFits = first.isPlain() || peakDemand(plan, first.requestClass->name) <= remainingCapacityShare(plan);
        std::vector<double> firstTokens;
        std::vector<double> betweenTokens;
        std::size_t meetingTargets = 0;
        std::size_t meetingLetterTargets = 0;
        double usefulTokens = 0;
        for (const auto* caller : callers) {
            results.arrived++;
            results.computedTokens += static_cast<double>(caller->computedTokens);
            const bool isAnswered = caller->outcome == caller_outcome::answered;
            results.wastedTokens += static_cast<double>(caller->computedTokens) - (isAnswered && !caller->isPlain() ? caller->answerTokens : 0);
            results.maxWait = std::max(results.maxWait, seconds(caller->wait()));
            if (caller->firstTokenAt)
                firstTokens.push_back(seconds(caller->wait()));
            if (isAnswered) {
                results.answered++;
                betweenTokens.push_back(caller->betweenTokens().count());
            } else if (isLimited(*caller)) {
                results.limited++;
            } else if (caller->outcome == caller_outcome::disconnected) {
                results.disconnected++;
            } else if (caller->outcome == caller_outcome::failed && caller->ran == ran_state::no) {
                results.refused++;
            } else {
                results.failed++;
            }
            if (caller->meetsTargets()) {
                meetingTargets++;
                usefulTokens += caller->answerTokens;
            }
            meetingLetterTargets += meetsLetterTargets(*caller) ? 1 : 0;
        }
        const auto withinLimits = static_cast<double>(std::max<std::size_t>(1, results.arrived - results.limited));
        results.attainment = static_cast<double>(meetingTargets) / withinLimits;
        results.letterAttainment = static_cast<double>(meetingLetterTargets) / withinLimits;
        results.goodput = usefulTokens / seconds(plan.length);
        results.firstTokenP95 = percentile95(std::move(firstTokens));
        results.betweenTokensP95 = percentile95(std::move(betweenTokens));
        results.longestStarvation = longestStarvation(callers);
        return results;
    }

    // Returns the name under which a caller is measured. An organisation with a phase of its own is measured separately from
    // the other callers of the class.
    std::string groupOf(const scenario& plan, const caller_record& caller)
    {
        const auto& name = caller.requestClass->name;
        for (const auto& phase : plan.phases) {
            if (!phase.organisation.empty() && phase.organisation == caller.organisation && phase.className == name)
                return name + " of " + caller.organisation;
        }
        return name;
    }

} // namespace

run_results measure(const cluster_simulation& simulation, const std::string& policy)
{
    const auto& plan = simulation.plan();
    std::map<std::pair<std::uint32_t, std::string>, std::vector<const caller_record*>> groups;
    for (const auto& caller : simulation.callers()) {
        if (!caller.crashesEngine)
            groups[{ caller.requestClass->tierRank, groupOf(plan, caller) }].push_back(&caller);
    }
    run_results results;
    results.policy = policy;
    double computed = 0;
    double wasted = 0;
    for (const auto& [key, callers] : groups) {
        results.classes.push_back(measureClass(plan, key.second, callers));
        results.goodput += results.classes.back().goodput;
        computed += results.classes.back().computedTokens;
        wasted += results.classes.back().wastedTokens;
    }
    results.wastedShare = computed > 0 ? wasted / computed : 0;
    results.maxCrashesByOneRequest = simulation.maxCrashesByOneRequest();
    results.inversions = simulation.checks().count(invariant::no_tier_inversion);
    results.violations = simulation.checks().violations();
    results.steps = simulation.steps();
    return results;
}

} // namespace kumquat_bench
