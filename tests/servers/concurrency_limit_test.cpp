#include "servers/sidecar/concurrency_limit.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

constexpr duration target = 26ms;

// Runs an engine for some seconds whose gap between tokens is the given function of the runs, always as many as allowed.
template <typename Gap>
void runFor(concurrency_limit& limit, instant& now, std::chrono::seconds span, Gap&& gap)
{
    const auto end = now + span;
    while (now < end) {
        const auto running = limit.value();
        const duration each = gap(running);
        now += each;
        for (std::uint32_t run = 0; run < running; ++run)
            limit.observe(each, target, running, now);
    }
}

} // namespace

TEST_CASE("the concurrency limit settles where the between-token target holds")
{
    concurrency_limit limit(32);
    instant now { 1h };
    // 26 ms are reached with 16 runs.
    runFor(limit, now, 60s, [](std::uint32_t running) { return 10ms + running * 1ms; });
    CHECK(limit.value() >= 12);
    CHECK(limit.value() <= 17);
}

TEST_CASE("the concurrency limit returns to all slots when the engine recovers")
{
    concurrency_limit limit(16);
    instant now { 1h };
    runFor(limit, now, 30s, [](std::uint32_t running) { return 4ms * running; });
    CHECK(limit.value() < 10);
    CHECK(limit.value() >= 1);
    runFor(limit, now, 30s, [](std::uint32_t) { return 10ms; });
    CHECK(limit.value() == 16);
}

TEST_CASE("the concurrency limit does not starve an engine whose gaps do not depend on its load")
{
    concurrency_limit limit(16);
    instant now { 1h };
    runFor(limit, now, 120s, [](std::uint32_t) { return 100ms; });
    CHECK(limit.value() >= 9);
}

TEST_CASE("the concurrency limit never falls under one run")
{
    concurrency_limit limit(2);
    instant now { 1h };
    runFor(limit, now, 120s, [](std::uint32_t running) { return 100ms * running * running; });
    CHECK(limit.value() >= 1);
}
