#include "tests/properties/drawn_schedule.h"

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
    output << "seed " << plan.seed << ", loss " << plan.network.loss << ", duplication " << plan.network.duplication << ", reorders " << plan.network.reorders << ", leaving " << plan.leavingCallers;
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

    constexpr int lengthMilliseconds = 10000;
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

    rc::Gen<duration> moment()
    {
        return rc::gen::map(rc::gen::inRange(0, lengthMilliseconds), milliseconds);
    }

    rc::Gen<duration> pauseLength()
    {
        return rc::gen::map(rc::gen::inRange(100, 15000), milliseconds);
    }

    template <typename Fault>
    rc::Gen<fault> faultAt(std::uint32_t targets)
    {
        return rc::gen::map(rc::gen::pair(moment(), rc::gen::inRange<std::uint32_t>(0, targets)), [](const std::pair<duration, std::uint32_t>& drawn) {
            return fault { Fault { drawn.first, drawn.second } };
        });
    }

    template <typename Pause>
    rc::Gen<fault> pauseAt(std::uint32_t targets)
    {
        return rc::gen::map(rc::gen::tuple(moment(), rc::gen::inRange<std::uint32_t>(0, targets), pauseLength()), [](const std::tuple<duration, std::uint32_t, duration>& drawn) {
            return fault { Pause { std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn) } };
        });
    }

    rc::Gen<fault> anyFault()
    {
        constexpr std::uint32_t sidecars = engines + plainWorkers;
        return rc::gen::oneOf(faultAt<engine_crash>(engines), faultAt<sidecar_drain>(sidecars), faultAt<sidecar_restart>(sidecars), faultAt<entry_restart>(entries), pauseAt<sidecar_pause>(sidecars), pauseAt<entry_pause>(entries));
    }

} // namespace

scenario smallSite()
{
    scenario plan;
    plan.name = "drawn";
    plan.length = milliseconds(lengthMilliseconds);
    auto& site = plan.site;
    site.name = "small";
    site.document = smallDocument();
    site.entries = entries;
    site.dataCentres = { "east-legon", "tema" };
    site.engineService = "kasa";
    site.model = "kasa-8b";
    site.engines = engines;
    site.engine.maximumBatch = 4;
    site.engine.restartTime = 2s;
    site.plainService = "dwumadie";
    site.plainWorkers = plainWorkers;
    site.organisations = { { "osu", 0.5 }, { "ridge", 0.5 } };
    site.profiles = {
        { .className = "pass" },
        { .className = "order", .meanTokens = 20, .promptTokens = 100 },
        { .className = "summary", .meanTokens = 40, .promptTokens = 200, .sharedPromptTokens = 100 },
        { .className = "digest", .meanTokens = 100, .promptTokens = 400 },
    };
    plan.phases = {
        { .className = "pass", .until = plan.length, .requestsPerSecond = 3 },
        { .className = "order", .until = plan.length, .requestsPerSecond = 3 },
        { .className = "summary", .until = plan.length, .requestsPerSecond = 4 },
        { .className = "digest", .until = plan.length, .requestsPerSecond = 2 },
    };
    return plan;
}

rc::Gen<scenario> drawnSchedule()
{
    const auto percent = [](int most) { return rc::gen::map(rc::gen::inRange(0, most + 1), [](int drawn) { return drawn / 100.0; }); };
    const auto faults = rc::gen::container<std::vector<fault>>(anyFault());
    const auto drawn = rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 1000000), percent(10), percent(10), rc::gen::arbitrary<bool>(), percent(20), faults);
    return rc::gen::map(drawn, [](const std::tuple<std::uint64_t, double, double, bool, double, std::vector<fault>>& values) {
        auto plan = smallSite();
        std::tie(plan.seed, plan.network.loss, plan.network.duplication, plan.network.reorders, plan.leavingCallers, plan.faults) = values;
        constexpr std::size_t mostFaults = 8;
        if (plan.faults.size() > mostFaults)
            plan.faults.resize(mostFaults);
        return plan;
    });
}

} // namespace kumquat_test
