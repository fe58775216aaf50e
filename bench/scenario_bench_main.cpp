#include "bench/harness/bench_report.h"
#include "bench/harness/known_red.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

// Runs every scenario under every compared policy, writes the results, and checks the product's policy against the bounds.
// Exit status: 0 if every missed bound is listed in KNOWN-RED.txt, 1 if not, 2 on bad input.

using namespace kumquat_bench;

namespace {

struct bench_options {
    std::string sourceFolder = ".";
    std::string outputFolder = "out/bench";
    // Only scenarios whose name contains this text are run.
    std::string filter;
    unsigned threads = 4;
};

// Runs every scenario under every policy. Simulations share no state, so the threads run them in parallel.
std::vector<scenario_results> runAll(const std::vector<scenario>& plans, unsigned threads)
{
    const auto policies = comparedPolicies();
    std::vector<scenario_results> allResults;
    allResults.reserve(plans.size());
    for (const auto& plan : plans)
        allResults.push_back({ plan, std::vector<run_results>(policies.size()) });
    std::atomic<std::size_t> nextJob = 0;
    const auto work = [&] {
        for (auto job = nextJob++; job < plans.size() * policies.size(); job = nextJob++) {
            const auto& policy = policies[job % policies.size()];
            auto& results = allResults[job / policies.size()];
            cluster_simulation simulation(results.plan, policy);
            simulation.run();
            results.runs[job % policies.size()] = measure(simulation, policy.name);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < threads; ++index)
        workers.emplace_back(work);
    for (auto& worker : workers)
        worker.join();
    return allResults;
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

// Prints the missed bounds. Returns whether KNOWN-RED.txt lists all of them.
bool reportMissed(const std::vector<missed_bound>& missed, const known_red& knownFailures)
{
    bool allKnown = true;
    for (const auto& item : missed) {
        const bool isKnown = knownFailures.contains("bench " + item.id);
        std::printf("%s %s: %s\n", isKnown ? "KNOWN-RED" : "MISSED", item.id.c_str(), item.detail.c_str());
        allKnown = allKnown && isKnown;
    }
    return allKnown;
}

int runBench(const bench_options& options)
{
    const auto plans = loadScenarios(options.sourceFolder + "/bench/scenarios.json", options.sourceFolder);
    const auto bounds = loadBounds(options.sourceFolder + "/bench/bounds.json");
    for (const auto* failure : { kumquat::errorOf(plans), kumquat::errorOf(bounds) }) {
        if (!failure)
            continue;
        std::fprintf(stderr, "%s\n", failure->message.c_str());
        return 2;
    }
    std::vector<scenario> selected;
    for (const auto& plan : kumquat::valueOf(plans)) {
        if (plan.name.find(options.filter) != std::string::npos)
            selected.push_back(plan);
    }
    if (selected.empty()) {
        std::fprintf(stderr, "no scenario name contains '%s'\n", options.filter.c_str());
        return 2;
    }
    std::vector<missed_bound> missed;
    for (const auto& results : runAll(selected, options.threads)) {
        const auto stem = options.outputFolder + "/" + results.plan.name;
        std::fputs(formatTable(results).c_str(), stdout);
        writeFile(stem + ".json", formatJson(results));
        writeFile(stem + ".gnuplot", formatPlot(results, stem + ".svg"));
        const auto scenarioMissed = checkBounds(results, kumquat::valueOf(bounds));
        missed.insert(missed.end(), scenarioMissed.begin(), scenarioMissed.end());
    }
    std::printf("\n");
    const bool allKnown = reportMissed(missed, known_red(options.sourceFolder + "/KNOWN-RED.txt"));
    std::printf("bench: %zu scenarios, %zu bounds missed\n", selected.size(), missed.size());
    return allKnown ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    for (int index = 1; index + 1 < argc; index += 2) {
        const std::string name = argv[index];
        const std::string value = argv[index + 1];
        if (name == "--source")
            options.sourceFolder = value;
        else if (name == "--output")
            options.outputFolder = value;
        else if (name == "--filter")
            options.filter = value;
        else if (name == "--threads")
            options.threads = static_cast<unsigned>(std::stoul(value));
        else {
            std::fprintf(stderr, "unknown option '%s', expected --source, --output, --filter or --threads\n", name.c_str());
            return 2;
        }
    }
    return runBench(options);
}
