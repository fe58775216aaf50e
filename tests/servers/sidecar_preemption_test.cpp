#include "tests/support/sidecar_driver.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;
using kumquat_test::sidecar_driver;

namespace {

document_ptr makeDocument()
{
    document contents;
    contents.generation = 1;
    contents.classes = {
        { .name = "lookup", .tierRank = 0, .targets = { .firstToken = 400ms } },
        { .name = "question", .tierRank = 1 },
        { .name = "pass", .tierRank = 2, .repeatable = false },
        { .name = "digest", .tierRank = 2 },
    };
    return std::make_shared<const document_index>(contents);
}

sidecar_driver makeDriver(std::uint32_t slots, service_kind kind = service_kind::engine)
{
    return sidecar_driver({ .kind = kind, .slots = slots });
}

std::vector<output_chunk> chunksOf(const sidecar_effects& effects)
{
    return kumquat_test::sent<output_chunk, send_to_peer>(effects);
}

} // namespace

TEST_CASE("a stream below an urgent arrival: it is preempted a quarter of the target before the start deadline, and resumes with its output")
{
    auto driver = makeDriver(1);
    driver.step(document_received { makeDocument() });
    driver.submitOffer({ .id = "stream", .className = "digest" });
    driver.produce("stream", "Once ", 2);
    driver.produce("stream", "upon ", 1);
    const auto streamRun = driver.runOf("stream");
    CHECK(only<cancel_run>(driver.submitOffer({ .id = "urgent", .className = "lookup" })).empty());
    CHECK(only<cancel_run>(driver.advance(299ms)).empty());
    const auto preempted = driver.advance(1ms);
    REQUIRE(only<cancel_run>(preempted).size() == 1);
    CHECK(only<cancel_run>(preempted).at(0).run == streamRun);
    CHECK(driver.startedRequests(preempted) == std::vector<std::string> { "urgent" });

    // Output of the cancelled call that arrives after the cancellation is ignored.
    CHECK(chunksOf(driver.step(run_output { streamRun, "a ", 1 })).empty());
    const auto resumed = driver.finish("urgent");
    REQUIRE(only<start_run>(resumed).size() == 1);
    CHECK(only<start_run>(resumed).at(0).resumePrefix == "Once upon ");
    CHECK(only<start_run>(resumed).at(0).resumeTokens == 3);
    const auto chunk = chunksOf(driver.produce("stream", "a time", 2));
    REQUIRE(chunk.size() == 1);
    CHECK(chunk.at(0).sequence == 2);
    const auto finished = kumquat_test::sent<offer_finished, send_to_peer>(driver.finish("stream"));
    REQUIRE(finished.size() == 1);
    CHECK(finished.at(0).chunkCount == 3);
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("a preempted attempt with a prefix delivered by an earlier attempt: it resumes after that prefix and its own output")
{
    auto driver = makeDriver(1);
    driver.step(document_received { makeDocument() });
    auto request = driver.makeOffer({ .id = "stream", .className = "digest" });
    request.deliveredPrefix = "Once ";
    request.deliveredTokens = 2;
    driver.receive(request);
    driver.produce("stream", "upon ", 1);
    driver.submitOffer({ .id = "urgent", .className = "lookup" });
    driver.advance(300ms);
    const auto resumed = only<start_run>(driver.finish("urgent"));
    REQUIRE(resumed.size() == 1);
    CHECK(resumed.at(0).resumePrefix == "Once upon ");
    CHECK(resumed.at(0).resumeTokens == 3);
}

TEST_CASE("attempts that must not be repeated and calls of plain services are never preempted")
{
    SECTION("not repeatable")
    {
        auto driver = makeDriver(1);
        driver.step(document_received { makeDocument() });
        driver.submitOffer({ .id = "pass", .className = "pass", .repeatable = false });
        driver.submitOffer({ .id = "urgent", .className = "lookup" });
        CHECK(only<cancel_run>(driver.advance(1s)).empty());
    }
    SECTION("plain service")
    {
        auto driver = makeDriver(1, service_kind::plain);
        driver.step(document_received { makeDocument() });
        driver.submitOffer({ .id = "call", .className = "digest" });
        driver.submitOffer({ .id = "urgent", .className = "lookup" });
        CHECK(only<cancel_run>(driver.advance(1s)).empty());
    }
}

TEST_CASE("several preemptible runs: the youngest of the lowest tier is preempted first, then the next older one")
{
    auto driver = makeDriver(4);
    driver.step(document_received { makeDocument() });
    driver.submitOffer({ .id = "question", .className = "question" });
    driver.submitOffer({ .id = "old", .className = "digest" });
    driver.advance(10ms);
    driver.submitOffer({ .id = "young", .className = "digest" });
    driver.submitOffer({ .id = "pass", .className = "pass", .repeatable = false });
    driver.advance(10ms);
    driver.submitOffer({ .id = "urgent", .className = "lookup" });
    driver.advance(300ms);
    CHECK_FALSE(driver.isRunning("young"));
    driver.submitOffer({ .id = "urgent-2", .className = "lookup" });
    driver.advance(300ms);
    CHECK_FALSE(driver.isRunning("old"));
    CHECK(driver.isRunning("question"));
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("an attempt that has been preempted twice is not preempted again")
{
    auto driver = makeDriver(1);
    driver.step(document_received { makeDocument() });
    driver.submitOffer({ .id = "stream", .className = "digest" });
    for (int i = 0; i < 2; ++i) {
        const auto id = "urgent-" + std::to_string(i);
        driver.submitOffer({ .id = id, .className = "lookup" });
        driver.advance(300ms);
        CHECK_FALSE(driver.isRunning("stream"));
        driver.finish(id);
        CHECK(driver.isRunning("stream"));
    }
    driver.submitOffer({ .id = "urgent-3", .className = "lookup" });
    CHECK(only<cancel_run>(driver.advance(5s)).empty());
    CHECK(driver.isRunning("stream"));
}

TEST_CASE("a preempted attempt that is withdrawn or does not resume is reported as started, not as refused")
{
    auto driver = makeDriver(1);
    driver.step(document_received { makeDocument() });
    driver.submitOffer({ .id = "stream", .className = "digest", .timeLeft = 5000ms });
    driver.submitOffer({ .id = "urgent", .className = "lookup" });
    driver.advance(300ms);
    SECTION("withdrawn")
    {
        const auto withdrawn = kumquat_test::sent<offer_withdrawn, send_to_peer>(driver.withdrawAttempt("stream"));
        REQUIRE(withdrawn.size() == 1);
        CHECK(withdrawn.at(0).started);
    }
    SECTION("timed out")
    {
        const auto effects = driver.advance(6s);
        CHECK(driver.refusedRequests(effects).empty());
        const auto failed = kumquat_test::sent<offer_failed, send_to_peer>(effects);
        REQUIRE(failed.size() == 1);
        CHECK(failed.at(0).started);
    }
    SECTION("upstream unhealthy")
    {
        const auto effects = driver.step(upstream_probed { .healthy = false });
        CHECK(driver.refusedRequests(effects).empty());
        CHECK(kumquat_test::sent<offer_failed, send_to_peer>(effects).at(0).started);
    }
    SECTION("drained")
    {
        CHECK(kumquat_test::sent<offer_failed, send_to_peer>(driver.step(drain_requested {})).empty());
        CHECK(driver.startedRequests(driver.finish("urgent")) == std::vector<std::string> { "stream" });
    }
}

TEST_CASE("priority scheduling does not preempt for an urgent arrival")
{
    sidecar_driver driver({ .slots = 1, .policy = priority_scheduling {} });
    driver.step(document_received { makeDocument() });
    driver.submitOffer({ .id = "stream", .className = "digest" });
    driver.submitOffer({ .id = "urgent", .className = "lookup" });
    CHECK(only<cancel_run>(driver.advance(5s)).empty());
}

TEST_CASE("inverted scheduling: the invariant checks report the violation")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 2, .policy = inverted_scheduling {} });
    driver.submitOffer({ .id = "running" });
    driver.submitOffer({ .id = "high", .tierRank = 0 });
    driver.submitOffer({ .id = "low", .tierRank = 2 });
    SECTION("by a shed")
    {
        driver.submitOffer({ .id = "another", .tierRank = 2 });
        REQUIRE(driver.reducer.invariants().violations().size() == 1);
        CHECK(driver.reducer.invariants().violations().at(0).find("'high'") != std::string::npos);
    }
    SECTION("by a start")
    {
        const auto effects = driver.finish("running");
        CHECK(driver.reducer.invariants().violationCount() == 1);
        CHECK(only<count_metric>(effects).back().name == "kumquat_sidecar_invariant_violations_total");
    }
}
