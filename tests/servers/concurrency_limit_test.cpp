#include "servers/sidecar/concurrency_limit.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

constexpr duration target = 26ms;

// Simulates an engine for a time span. It always executes as many runs as the limit allows, and the time between two tokens
// is the given function of the number of runs.
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

TEST_CASE("a gap that grows with the number of runs: the limit converges to the number that meets the between-token target")
{
    concurrency_limit limit(32);
    instant now { 1h };
    // 16 runs have a gap of 26 ms, which is the target.
    runFor(limit, now, 60s, [](std::uint32_t running) { return 10ms + running * 1ms; });
    CHECK(limit.value() >= 12);
    CHECK(limit.value() <= 17);
}

TEST_CASE("an overloaded engine that recovers: the limit decreases and returns to the number of slots")
{
    concurrency_limit limit(16);
    instant now { 1h };
    runFor(limit, now, 30s, [](std::uint32_t running) { return 4ms * running; });
    CHECK(limit.value() < 10);
    CHECK(limit.value() >= 1);
    runFor(limit, now, 30s, [](std::uint32_t) { return 10ms; });
    CHECK(limit.value() == 16);
}

TEST_CASE("a gap above the target that does not depend on the number of runs: the limit does not stay decreased")
{
    concurrency_limit limit(16);
    instant now { 1h };
    runFor(limit, now, 120s, [](std::uint32_t) { return 100ms; });
    CHECK(limit.value() >= 9);
}

TEST_CASE("a gap far above the target at any number of runs: the limit stays at one or more")
{
    concurrency_limit limit(2);
    instant now { 1h };
    runFor(limit, now, 120s, [](std::uint32_t running) { return 100ms * running * running; });
    CHECK(limit.value() >= 1);
}
