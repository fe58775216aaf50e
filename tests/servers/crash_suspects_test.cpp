#include "servers/sidecar/crash_suspects.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

attempt_id named(const std::string& id) { return { id, 1 }; }

} // namespace

TEST_CASE("everything that runs at a crash becomes suspect, and nothing is refused")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.started(named("a"), 11, false);
    suspects.started(named("b"), 12, false);
    suspects.started(named("c"), 13, false);
    suspects.connectionBroke(named("a"), now);
    CHECK(suspects.isSuspect(11));
    CHECK_FALSE(suspects.isSuspect(12));
    suspects.lostHealth(now + 250ms);
    CHECK(suspects.suspects() == std::vector<std::uint64_t> { 11, 12, 13 });
    CHECK(suspects.refused().empty());
}

TEST_CASE("a single broken connection without the loss of health is forgotten")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.started(named("a"), 11, true);
    suspects.connectionBroke(named("a"), now);
    // It may be sent again within milliseconds, so it is refused until the doubt is settled.
    CHECK(suspects.isRefused(11));
    suspects.expire(now + 3s);
    CHECK_FALSE(suspects.isRefused(11));
    CHECK_FALSE(suspects.isSuspect(11));
}

TEST_CASE("a crash with one suspect running has it refused for a time, and its neighbours suspected")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.started(named("innocent"), 12, false);
    suspects.started(named("crasher"), 11, true);
    suspects.connectionBroke(named("crasher"), now);
    suspects.connectionBroke(named("innocent"), now + 1ms);
    CHECK(suspects.refused() == std::vector<std::uint64_t> { 11 });
    CHECK(suspects.isSuspect(12));
    CHECK(suspects.refusedFor(11, now + 1min) > 8min);
    suspects.expire(now + 11min);
    CHECK(suspects.refused().empty());
}

TEST_CASE("surviving a run clears a suspect; a cancellation does not")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    for (const auto* id : { "a", "b" })
        suspects.started(named(id), id == std::string("a") ? 11 : 12, false);
    suspects.connectionBroke(named("a"), now);
    suspects.connectionBroke(named("b"), now);
    suspects.started(named("a2"), 11, true);
    suspects.started(named("b2"), 12, true);
    suspects.survived(named("a2"));
    suspects.ended(named("b2"));
    CHECK_FALSE(suspects.isSuspect(11));
    CHECK(suspects.isSuspect(12));
}

TEST_CASE("the lists of suspects stay bounded")
{
    crash_suspects suspects({ .capacity = 8 });
    instant now { 1h };
    for (std::uint64_t i = 1; i <= 100; ++i) {
        now += 1ms;
        suspects.started(named(std::to_string(i)), i, false);
        suspects.connectionBroke(named(std::to_string(i)), now);
    }
    CHECK(suspects.suspects().size() == 8);
    CHECK(suspects.isSuspect(100));
}
