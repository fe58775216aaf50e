#include "tests/support/sidecar_driver.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;
using kumquat_test::sent;
using kumquat_test::sidecar_driver;

namespace {

std::vector<report> reportsOf(const sidecar_effects& effects)
{
    return sent<report, send_to_peer>(effects);
}

} // namespace

TEST_CASE("a crash of the upstream: the suspects are reported to subscribers immediately")
{
    sidecar_driver driver({ .slots = 4 });
    driver.receive(subscribe { sidecar_driver::identity("entry-a"), 1 });
    driver.submitOffer({ .id = "a", .fingerprint = 11 });
    driver.submitOffer({ .id = "b", .fingerprint = 12 });
    const auto breakEffects = driver.breakConnection("a");
    REQUIRE(sent<offer_failed, send_to_peer>(breakEffects).size() == 1);
    CHECK(sent<offer_failed, send_to_peer>(breakEffects).at(0).crashed);
    REQUIRE_FALSE(reportsOf(breakEffects).empty());
    CHECK(reportsOf(breakEffects).back().suspects == std::vector<std::uint64_t> { 11 });
    const auto healthLossEffects = driver.step(upstream_probed { .healthy = false });
    CHECK(reportsOf(healthLossEffects).back().suspects == std::vector<std::uint64_t> { 11, 12 });
}

TEST_CASE("several waiting suspects: they run one at a time, unsuspected attempts run concurrently")
{
    sidecar_driver driver({ .slots = 4 });
    driver.submitOffer({ .id = "first", .fingerprint = 11, .suspect = true });
    driver.submitOffer({ .id = "second", .fingerprint = 12, .suspect = true });
    driver.submitOffer({ .id = "third", .tierRank = 0, .fingerprint = 13, .suspect = true });
    driver.submitOffer({ .id = "innocent", .tierRank = 2, .fingerprint = 14 });
    CHECK(driver.isRunning("first"));
    CHECK(driver.isRunning("innocent"));
    CHECK(driver.reducer.runningCount() == 2);
    CHECK(driver.startedRequests(driver.finish("first")) == std::vector<std::string> { "third" });
    CHECK(driver.startedRequests(driver.withdrawAttempt("third")) == std::vector<std::string> { "second" });
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("a crash with one running suspect: waiting and later attempts with its fingerprint are refused")
{
    sidecar_driver driver({ .slots = 4 });
    driver.receive(subscribe { sidecar_driver::identity("entry-a"), 1 });
    driver.submitOffer({ .id = "crasher", .fingerprint = 11, .suspect = true });
    driver.submitOffer({ .id = "copy", .fingerprint = 11, .suspect = true });
    driver.submitOffer({ .id = "innocent", .fingerprint = 12 });
    const auto breakEffects = driver.breakConnection("crasher");
    CHECK(driver.startedRequests(breakEffects).empty());
    CHECK(driver.refusedRequests(breakEffects) == std::vector<std::string> { "copy" });
    driver.breakConnection("innocent");
    const auto refused = sent<offer_refused, send_to_peer>(driver.submitOffer({ .id = "again", .fingerprint = 11 }));
    REQUIRE(refused.size() == 1);
    CHECK(refused.at(0).reason == error_code::request_suspected);
    CHECK(refused.at(0).retryAfter > 9min);
    CHECK(driver.reducer.makeReport().refusedFingerprints == std::vector<std::uint64_t> { 11 });
    // The request that ran beside the crashing one is served when it arrives again.
    driver.submitOffer({ .id = "innocent-2", .fingerprint = 12 });
    driver.finish("innocent-2");
    CHECK(driver.reducer.makeReport().suspects == std::vector<std::uint64_t> { 11 });
}

TEST_CASE("an upstream that becomes unhealthy: its waiting attempts are refused immediately")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "running" });
    driver.submitOffer({ .id = "waiting" });
    const auto effects = driver.step(upstream_probed { .healthy = false });
    const auto refused = sent<offer_refused, send_to_peer>(effects);
    REQUIRE(refused.size() == 1);
    CHECK(refused.at(0).header.attempt.requestId == "waiting");
    CHECK(refused.at(0).reason == error_code::no_upstream);
}

TEST_CASE("an entry that times out: its waiting attempts are cancelled even if not repeatable, its running not repeatable one continues")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "running", .repeatable = false });
    driver.submitOffer({ .id = "waiting", .repeatable = false });
    driver.submitOffer({ .id = "other", .entry = "entry-b" });
    driver.advance(9s);
    driver.receive(subscribe { sidecar_driver::identity("entry-b"), 1 });
    driver.advance(2s);
    CHECK(driver.reducer.runningCount() == 1);
    CHECK(driver.isRunning("running"));
    CHECK(driver.reducer.queuedCount() == 1);
    CHECK(driver.startedRequests(driver.finish("running")) == std::vector<std::string> { "other" });
}

TEST_CASE("an entry replaced by a process with the same id: the predecessor's running attempt is cancelled after the entry timeout")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "old" });
    auto successor = sidecar_driver::identity("entry-a");
    successor.incarnation++;
    sidecar_effects effects;
    for (int second = 0; second < 11; ++second) {
        driver.receive(subscribe { successor, 1 });
        for (auto& effect : driver.advance(1s))
            effects.push_back(std::move(effect));
    }
    CHECK(only<cancel_run>(effects).size() == 1);
    CHECK(driver.reducer.runningCount() == 0);
}
