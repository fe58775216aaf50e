#include "servers/load/arrival_schedule.h"
#include "servers/load/load_outcome.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

load_experiment experimentWith(arrival_pattern pattern)
{
    load_experiment experiment;
    experiment.duration = 100s;
    experiment.streams.push_back({ .name = "only", .arrivals = pattern });
    return experiment;
}

} // namespace

TEST_CASE("arrival schedules are in order of time and equal for the same seed")
{
    auto experiment = experimentWith(poisson_arrivals { 20 });
    experiment.streams.push_back({ .name = "burst", .arrivals = burst_arrivals { 3s, 5 } });
    const auto first = scheduleArrivals(experiment);
    const auto second = scheduleArrivals(experiment);
    REQUIRE(first.size() == second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].at == second[index].at);
        if (index > 0)
            CHECK(first[index - 1].at <= first[index].at);
    }
    experiment.seed++;
    CHECK(scheduleArrivals(experiment)[0].at != first[0].at);
}

TEST_CASE("constant, Poisson and festival arrivals have the configured rates")
{
    CHECK(scheduleArrivals(experimentWith(constant_arrivals { 7 })).size() == 700);
    // Six standard deviations around the mean of a Poisson count.
    const auto poisson = scheduleArrivals(experimentWith(poisson_arrivals { 20 })).size();
    CHECK(poisson > 2000 - 6 * 45);
    CHECK(poisson < 2000 + 6 * 45);
    const auto festival = scheduleArrivals(experimentWith(festival_arrivals { 10, 30 }));
    const auto middle = std::count_if(festival.begin(), festival.end(), [](const auto& arrival) { return arrival.at > 25s && arrival.at < 75s; });
    // The middle half has a mean rate of 25, the outer half one of 15.
    CHECK(middle > static_cast<std::ptrdiff_t>(festival.size() - middle));
}

TEST_CASE("a missed target and an incomplete answer do not meet the targets")
{
    load_outcome outcome { .result = load_result::complete, .firstToken = 500ms, .total = 1000ms, .tokens = 21 };
    const latency_targets targets { .firstToken = 530ms, .betweenTokens = 26ms };
    CHECK(meetsTargets(outcome, targets));
    CHECK_FALSE(meetsTargets(outcome, { .firstToken = 499ms }));
    CHECK_FALSE(meetsTargets(outcome, { .betweenTokens = 24ms }));
    CHECK_FALSE(meetsTargets(outcome, { .total = 999ms }));
    outcome.result = load_result::broken;
    CHECK_FALSE(meetsTargets(outcome, {}));
}
