#include "servers/sidecar/crash_suspects.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

attempt_id named(const std::string& id) { return { id, 1 }; }

} // namespace

TEST_CASE("a crash with several unsuspected runs: all their fingerprints become suspects and none is refused")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.recordStart(named("a"), 11, false);
    suspects.recordStart(named("b"), 12, false);
    suspects.recordStart(named("c"), 13, false);
    suspects.recordBrokenConnection(named("a"), now);
    CHECK(suspects.isSuspect(11));
    CHECK_FALSE(suspects.isSuspect(12));
    suspects.recordHealthLoss(now + 250ms);
    CHECK(suspects.suspects() == std::vector<std::uint64_t> { 11, 12, 13 });
    CHECK(suspects.refused().empty());
}

TEST_CASE("a single broken connection without a loss of health: the suspicion and the refusal expire after 3 s")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.recordStart(named("a"), 11, true);
    suspects.recordBrokenConnection(named("a"), now);
    // The request may arrive again within milliseconds, so it is refused until the confirmation time has passed.
    CHECK(suspects.isRefused(11));
    suspects.expire(now + 3s);
    CHECK_FALSE(suspects.isRefused(11));
    CHECK_FALSE(suspects.isSuspect(11));
}

TEST_CASE("a crash while one suspect runs: the suspect is refused for ten minutes and the other run becomes a suspect")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    suspects.recordStart(named("innocent"), 12, false);
    suspects.recordStart(named("crasher"), 11, true);
    suspects.recordBrokenConnection(named("crasher"), now);
    suspects.recordBrokenConnection(named("innocent"), now + 1ms);
    CHECK(suspects.refused() == std::vector<std::uint64_t> { 11 });
    CHECK(suspects.isSuspect(12));
    CHECK(suspects.remainingRefusalTime(11, now + 1min) > 8min);
    suspects.expire(now + 11min);
    CHECK(suspects.refused().empty());
}

TEST_CASE("a run that ends properly clears a suspect, a cancelled run does not")
{
    crash_suspects suspects(crash_suspects::options {});
    const instant now { 1h };
    for (const auto* id : { "a", "b" })
        suspects.recordStart(named(id), id == std::string("a") ? 11 : 12, false);
    suspects.recordBrokenConnection(named("a"), now);
    suspects.recordBrokenConnection(named("b"), now);
    suspects.recordStart(named("a2"), 11, true);
    suspects.recordStart(named("b2"), 12, true);
    suspects.recordProperEnd(named("a2"));
    suspects.recordInconclusiveEnd(named("b2"));
    CHECK_FALSE(suspects.isSuspect(11));
    CHECK(suspects.isSuspect(12));
}

TEST_CASE("more suspects than the capacity: the list evicts the oldest and stays at the capacity")
{
    crash_suspects suspects({ .capacity = 8 });
    instant now { 1h };
    for (std::uint64_t i = 1; i <= 100; ++i) {
        now += 1ms;
        suspects.recordStart(named(std::to_string(i)), i, false);
        suspects.recordBrokenConnection(named(std::to_string(i)), now);
    }
    CHECK(suspects.suspects().size() == 8);
    CHECK(suspects.isSuspect(100));
}
