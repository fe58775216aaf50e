#include "tests/properties/scenario_generator.h"

#include <ostream>

namespace kumquat_bench {

namespace {

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    struct fault_printer {
        std::ostream& output;

        void operator()(const engine_crash& item) const { output << "engine " << item.engine << " crashes at " << seconds(item.at); }
        void operator()(const engine_slowdown& item) const { output << "engine " << item.engine << " slows down by " << item.factor << " at " << seconds(item.at); }
        void operator()(const sidecar_drain& item) const { output << "sidecar " << item.sidecar << " drains at " << seconds(item.at); }
        void operator()(const sidecar_restart& item) const { output << "sidecar " << item.sidecar << " restarts at " << seconds(item.at); }
        void operator()(const entry_restart& item) const { output << "entry " << item.entry << " restarts at " << seconds(item.at); }
        void operator()(const sidecar_pause& item) const { output << "sidecar " << item.sidecar << " pauses at " << seconds(item.at) << " for " << seconds(item.length); }
        void operator()(const entry_pause& item) const { output << "entry " << item.entry << " pauses at " << seconds(item.at) << " for " << seconds(item.length); }
        void operator()(const crashing_caller& item) const { output << "crashing request from " << seconds(item.from) << " to " << seconds(item.until); }
    };

} // namespace

void showValue(const fault& item, std::ostream& output)
{
    std::visit(fault_printer { output }, item);
}

void showValue(const scenario& plan, std::ostream& output)
{
    output << "seed " << plan.seed << ", loss " << plan.network.loss << ", duplication " << plan.network.duplication << ", reorders " << plan.network.reorders << ", leaving " << plan.disconnectingShare;
    for (const auto& item : plan.faults) {
        output << "; ";
        showValue(item, output);
    }
}

} // namespace kumquat_bench

namespace kumquat_test {

using namespace kumquat_bench;
using namespace std::chrono_literals;

namespace {

    constexpr int scenarioMilliseconds = 10000;
    constexpr std::uint32_t entries = 2;
    constexpr std::uint32_t engines = 3;
    constexpr std::uint32_t plainWorkers = 2;

    kumquat::document_ptr smallDocument()
    {
        kumquat::document contents;
        contents.generation = 1;
        contents.tiers = { { "critical", 0 }, { "interactive", 1 }, { "bulk", 2 } };
        contents.classes = {
            { .name = "pass", .tier = "critical", .tierRank = 0, .repeatable = false },
            { .name = "order", .tier = "interactive", .tierRank = 1, .repeatable = false, .expectedTokens = 20 },
            { .name = "summary", .tier = "interactive", .tierRank = 1, .targets = { .firstToken = 530ms, .betweenTokens = 26ms }, .expectedTokens = 40 },
            { .name = "digest", .tier = "bulk", .tierRank = 2, .expectedTokens = 100 },
        };
        contents.services = { { .name = "kasa", .models = { "kasa-8b" } }, { .name = "dwumadie", .kind = kumquat::service_kind::plain } };
        contents.organisations = { { .name = "osu", .keyDigests = { "key-osu" } }, { .name = "ridge", .keyDigests = { "key-ridge" } } };
        return std::make_shared<const kumquat::document_index>(contents);
    }

    duration milliseconds(int count)
    {
        return std::chrono::milliseconds(count);
    }

    rc::Gen<duration> faultTime()
    {
        return rc::gen::map(rc::gen::inRange(0, scenarioMilliseconds), milliseconds);
    }

    rc::Gen<duration> pauseLength()
    {
        return rc::gen::map(rc::gen::inRange(100, 15000), milliseconds);
    }

    template <typename Fault>
    rc::Gen<fault> faultOfType(std::uint32_t targetCount)
    {
        return rc::gen::map(rc::gen::pair(faultTime(), rc::gen::inRange<std::uint32_t>(0, targetCount)), [](const std::pair<duration, std::uint32_t>& values) {
            return fault { Fault { values.first, values.second } };
        });
    }

    template <typename Pause>
    rc::Gen<fault> pauseOfType(std::uint32_t targetCount)
    {
        return rc::gen::map(rc::gen::tuple(faultTime(), rc::gen::inRange<std::uint32_t>(0, targetCount), pauseLength()), [](const std::tuple<duration, std::uint32_t, duration>& values) {
            return fault { Pause { std::get<0>(values), std::get<1>(values), std::get<2>(values) } };
        });
    }

    rc::Gen<fault> arbitraryFault()
    {
        constexpr std::uint32_t sidecars = engines + plainWorkers;
        return rc::gen::oneOf(faultOfType<engine_crash>(engines), faultOfType<sidecar_drain>(sidecars), faultOfType<sidecar_restart>(sidecars), faultOfType<entry_restart>(entries), pauseOfType<sidecar_pause>(sidecars), pauseOfType<entry_pause>(entries));
    }

} // namespace

scenario smallScenario()
{
    scenario plan;
    plan.name = "drawn";
    plan.length = milliseconds(scenarioMilliseconds);
    auto& site = plan.site;
    site.name = "small";
    site.document = smallDocument();
    site.entries = entries;
    site.dataCentres = { "east-legon", "tema" };
    site.engineService = "kasa";
    site.model = "kasa-8b";
    site.engines = engines;
    site.engine.maxBatchSize = 4;
    site.engine.restartTime = 2s;
    site.plainService = "dwumadie";
    site.plainWorkers = plainWorkers;
    site.organisations = { { "osu", 0.5 }, { "ridge", 0.5 } };
    site.profiles = {
        { .className = "pass" },
        { .className = "order", .meanAnswerTokens = 20, .promptTokens = 100 },
        { .className = "summary", .meanAnswerTokens = 40, .promptTokens = 200, .sharedPromptTokens = 100 },
        { .className = "digest", .meanAnswerTokens = 100, .promptTokens = 400 },
    };
    plan.phases = {
        { .className = "pass", .until = plan.length, .requestsPerSecond = 3 },
        { .className = "order", .until = plan.length, .requestsPerSecond = 3 },
        { .className = "summary", .until = plan.length, .requestsPerSecond = 4 },
        { .className = "digest", .until = plan.length, .requestsPerSecond = 2 },
    };
    return plan;
}

rc::Gen<scenario> scenarioGenerator()
{
    const auto percent = [](int maxPercent) { return rc::gen::map(rc::gen::inRange(0, maxPercent + 1), [](int value) { return value / 100.0; }); };
    const auto faults = rc::gen::container<std::vector<fault>>(arbitraryFault());
    const auto generatedValues = rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 1000000), percent(10), percent(10), rc::gen::arbitrary<bool>(), percent(20), faults);
    return rc::gen::map(generatedValues, [](const std::tuple<std::uint64_t, double, double, bool, double, std::vector<fault>>& values) {
        auto plan = smallScenario();
        std::tie(plan.seed, plan.network.loss, plan.network.duplication, plan.network.reorders, plan.disconnectingShare, plan.faults) = values;
        constexpr std::size_t maxFaults = 8;
        if (plan.faults.size() > maxFaults)
            plan.faults.resize(maxFaults);
        return plan;
    });
}

} // namespace kumquat_test
