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
        return caller.end == caller_end::failed && (caller.error == error_code::rate_limited || caller.error == error_code::too_many_in_flight);
    }

    bool meetsLetter(const caller_record& caller)
    {
        return caller.end == caller_end::answered && caller.wait() <= letterFirstToken && caller.betweenTokens() <= letterBetweenTokens;
    }

    // Returns the fraction of the fleet's engine capacity that no fault of the scenario takes away.
    double lastingShare(const scenario& plan)
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
        for (const auto& moment : plan.phases) {
            double sum = 0;
            for (const auto& phase : plan.phases) {
                if (phase.className == className && phase.from <= moment.from && moment.from < phase.until)
                    sum += phase.ofCapacity;
            }
            peak = std::max(peak, sum);
        }
        return peak;
    }

    // A change in the number of callers that wait for a first token, or the completion of an answer.
    struct waiting_change {
        instant at;
        int difference = 0;
        bool isCompletion = false;
    };

    // Returns the longest time in seconds during which callers waited and no answer completed.
    double longestDrought(const std::vector<const caller_record*>& callers)
    {
        std::vector<waiting_change> changes;
        for (const auto* caller : callers) {
            changes.push_back({ caller->arrival, 1, false });
            changes.push_back({ std::min(caller->firstTokenAt.value_or(caller->endedAt), caller->endedAt), -1, false });
            if (caller->end == caller_end::answered)
                changes.push_back({ caller->endedAt, 0, true });
        }
        std::stable_sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
        int waiting = 0;
        instant since;
        duration longest = duration::zero();
        for (const auto& change : changes) {
            if (waiting > 0)
                longest = std::max(longest, change.at - since);
            if (change.isCompletion || waiting == 0)
                since = change.at;
            waiting += change.difference;
        }
        return seconds(longest);
    }

    class_figures measureClass(const scenario& plan, const std::string& name, const std::vector<const caller_record*>& callers)
    {
        const auto& first = *callers.front();
        class_figures figures;
        figures.name = name;
        figures.tierRank = first.requestClass->tierRank;
        figures.isPlain = first.isPlain();
        figures.demandFits = first.isPlain() || peakDemand(plan, first.requestClass->name) <= lastingShare(plan);
        std::vector<double> firstTokens;
        std::vector<double> gaps;
        std::size_t attained = 0;
        std::size_t attainedLetter = 0;
        double usefulTokens = 0;
        for (const auto* caller : callers) {
            figures.arrived++;
            figures.computedTokens += static_cast<double>(caller->computedTokens);
            const bool isAnswered = caller->end == caller_end::answered;
            figures.wastedTokens += static_cast<double>(caller->computedTokens) - (isAnswered && !caller->isPlain() ? caller->answerTokens : 0);
            figures.worstWait = std::max(figures.worstWait, seconds(caller->wait()));
            if (caller->firstTokenAt)
                firstTokens.push_back(seconds(caller->wait()));
            if (isAnswered) {
                figures.answered++;
                gaps.push_back(caller->betweenTokens().count());
            } else if (isLimited(*caller)) {
                figures.limited++;
            } else if (caller->end == caller_end::left) {
                figures.left++;
            } else if (caller->end == caller_end::failed && caller->ran == ran_state::no) {
                figures.refused++;
            } else {
                figures.failed++;
            }
            if (caller->meetsTargets()) {
                attained++;
                usefulTokens += caller->answerTokens;
            }
            attainedLetter += meetsLetter(*caller) ? 1 : 0;
        }
        const auto entitled = static_cast<double>(std::max<std::size_t>(1, figures.arrived - figures.limited));
        figures.attainment = static_cast<double>(attained) / entitled;
        figures.letterAttainment = static_cast<double>(attainedLetter) / entitled;
        figures.goodput = usefulTokens / seconds(plan.length);
        figures.firstToken95 = percentile95(std::move(firstTokens));
        figures.betweenTokens95 = percentile95(std::move(gaps));
        figures.longestDrought = longestDrought(callers);
        return figures;
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

run_figures measure(const virtual_world& world, const std::string& policy)
{
    const auto& plan = world.plan();
    std::map<std::pair<std::uint32_t, std::string>, std::vector<const caller_record*>> groups;
    for (const auto& caller : world.callers()) {
        if (!caller.crashesEngine)
            groups[{ caller.requestClass->tierRank, groupOf(plan, caller) }].push_back(&caller);
    }
    run_figures figures;
    figures.policy = policy;
    double computed = 0;
    double wasted = 0;
    for (const auto& [key, callers] : groups) {
        figures.classes.push_back(measureClass(plan, key.second, callers));
        figures.goodput += figures.classes.back().goodput;
        computed += figures.classes.back().computedTokens;
        wasted += figures.classes.back().wastedTokens;
    }
    figures.wastedShare = computed > 0 ? wasted / computed : 0;
    figures.crashesByOneRequest = world.mostCrashesByOneRequest();
    figures.inversions = world.checks().count(invariant::no_inversion);
    figures.violations = world.checks().violations();
    figures.steps = world.steps();
    return figures;
}

} // namespace kumquat_bench
