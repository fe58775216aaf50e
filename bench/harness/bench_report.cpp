#include "bench/harness/bench_report.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>

namespace kumquat_bench {

namespace {

    constexpr std::size_t maxLineLength = 256;

    nlohmann::ordered_json classJson(const class_results& item)
    {
        return {
            { "class", item.name },
            { "tier_rank", item.tierRank },
            { "demand_fits", item.demandFits },
            { "arrived", item.arrived },
            { "answered", item.answered },
            { "limited", item.limited },
            { "refused", item.refused },
            { "failed", item.failed },
            { "left", item.disconnected },
            { "attainment", item.attainment },
            { "letter_attainment", item.letterAttainment },
            { "goodput_tokens_per_second", item.goodput },
            { "computed_tokens", item.computedTokens },
            { "wasted_tokens", item.wastedTokens },
            { "first_token_p95_s", item.firstTokenP95 },
            { "between_tokens_p95_s", item.betweenTokensP95 },
            { "worst_wait_s", item.maxWait },
            { "longest_drought_s", item.longestStarvation },
        };
    }

    double wastedShare(const class_results& item)
    {
        return item.computedTokens > 0 ? item.wastedTokens / item.computedTokens : 0;
    }

} // namespace

std::string formatTable(const scenario_results& results)
{
    std::ostringstream table;
    char line[maxLineLength];
    table << "\n== " << results.plan.name << " (" << results.plan.site.name << ", seed " << results.plan.seed << ")\n";
    std::snprintf(line, sizeof line, "%-22s %-40s %7s %7s %7s %6s %6s %7s %9s %7s %8s %8s %8s %7s\n", "policy", "class", "arrived", "answer", "limited", "refuse", "failed", "attain", "goodput/s", "wasted", "ttft95 s", "tpot95", "worst s", "dry s");
    table << line;
    for (const auto& run : results.runs) {
        for (const auto& item : run.classes) {
            std::snprintf(line, sizeof line, "%-22s %-40s %7zu %7zu %7zu %6zu %6zu %6.2f%% %9.1f %6.2f%% %8.3f %5.1f ms %8.2f %7.2f\n", run.policy.c_str(), item.name.c_str(), item.arrived, item.answered, item.limited, item.refused, item.failed + item.disconnected, 100 * item.attainment, item.goodput, 100 * wastedShare(item), item.firstTokenP95, 1000 * item.betweenTokensP95, item.maxWait, item.longestStarvation);
            table << line;
        }
        std::snprintf(line, sizeof line, "%-22s %-40s goodput %.1f/s, wasted %.2f%%, inversions %zu, upstreams lost to one request %zu, broken invariants %zu\n", run.policy.c_str(), "all", run.goodput, 100 * run.wastedShare, run.inversions, run.maxCrashesByOneRequest, run.violations.size());
        table << line;
    }
    return table.str();
}

std::string formatJson(const scenario_results& results)
{
    nlohmann::ordered_json output { { "scenario", results.plan.name }, { "deployment", results.plan.site.name }, { "seed", results.plan.seed } };
    for (const auto& run : results.runs) {
        nlohmann::ordered_json runJson { { "policy", run.policy }, { "goodput_tokens_per_second", run.goodput }, { "wasted_share", run.wastedShare }, { "inversions", run.inversions }, { "upstreams_lost_to_one_request", run.maxCrashesByOneRequest }, { "reducer_steps", run.steps } };
        for (const auto& item : run.classes)
            runJson["classes"].push_back(classJson(item));
        for (const auto& item : run.violations)
            runJson["violations"].push_back({ { "invariant", toString(item.violated) }, { "detail", item.detail } });
        output["runs"].push_back(runJson);
    }
    return output.dump(2) + "\n";
}

std::string formatPlot(const scenario_results& results, const std::string& output)
{
    std::ostringstream script;
    script << "set terminal svg size 900,420 dynamic\nset output '" << output << "'\n"
           << "set title '" << results.plan.name << ": attainment by class'\n"
           << "set style data histograms\nset style histogram clustered gap 1\nset style fill solid 0.8\n"
           << "set yrange [0:100]\nset ylabel 'requests within targets (%)'\nset grid ytics\nset key outside\n"
           << "$figures << END\nclass";
    for (const auto& run : results.runs)
        script << " " << run.policy;
    script << "\n";
    const auto& first = results.runs.front().classes;
    for (std::size_t index = 0; index < first.size(); ++index) {
        script << '"' << first[index].name << '"';
        for (const auto& run : results.runs)
            script << " " << 100 * run.classes[index].attainment;
        script << "\n";
    }
    script << "END\nplot for [column=2:" << results.runs.size() + 1 << "] $figures using column:xtic(1) title columnheader(column)\n";
    return script.str();
}

} // namespace kumquat_bench
