#include "tests/support/sidecar_driver.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;
using kumquat_test::sidecar_driver;

namespace {

document_ptr makeDocument(std::vector<request_class> classes)
{
    document contents;
    contents.generation = 1;
    contents.classes = std::move(classes);
    return std::make_shared<const document_index>(contents);
}

// Finishes one run after another, each with the given tokens and duration, until the given number of requests has started.
// Returns them in the order of their starts.
std::vector<std::string> serveOneByOne(sidecar_driver& driver, std::string running, std::size_t count, std::uint32_t tokens, duration runTime)
{
    std::vector<std::string> order;
    while (order.size() < count) {
        driver.advance(runTime);
        driver.produce(running, "text", tokens);
        const auto started = driver.startedRequests(driver.finish(running));
        if (started.empty())
            break;
        running = started.front();
        order.push_back(running);
    }
    return order;
}

std::size_t countWithPrefix(const std::vector<std::string>& ids, const std::string& prefix)
{
    return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [&](const std::string& id) { return id.starts_with(prefix); }));
}

} // namespace

TEST_CASE("organisations with 100 and 10 waiting requests of one tier: both get an equal share of the starts")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "first" });
    for (int i = 0; i < 100; ++i)
        driver.submitOffer({ .id = "large-" + std::to_string(i), .organisation = "osu" });
    for (int i = 0; i < 10; ++i)
        driver.submitOffer({ .id = "small-" + std::to_string(i), .organisation = "ridge" });
    const auto order = serveOneByOne(driver, "first", 24, 100, 100ms);
    // An equal share is 12 of 24. Within one fairness quantum of 256 tokens the order may differ from it.
    CHECK(countWithPrefix(order, "small-") >= 9);
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("an organisation whose answers are longer than expected: it is charged for the tokens produced")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "first" });
    for (int i = 0; i < 40; ++i) {
        driver.submitOffer({ .id = "long-" + std::to_string(i), .className = "long", .organisation = "osu", .expectedTokens = 100 });
        driver.submitOffer({ .id = "short-" + std::to_string(i), .className = "short", .organisation = "ridge", .expectedTokens = 100 });
    }
    std::string running = "first";
    std::vector<std::string> order;
    while (order.size() < 40) {
        driver.advance(50ms);
        driver.produce(running, "text", running.starts_with("long") ? 900 : 100);
        running = driver.startedRequests(driver.finish(running)).at(0);
        order.push_back(running);
    }
    CHECK(countWithPrefix(order, "short-") >= 3 * countWithPrefix(order, "long-"));
}

TEST_CASE("an organisation that starts to send later: it gets no credit for the time without requests")
{
    sidecar_driver driver({ .slots = 1 });
    driver.submitOffer({ .id = "first", .organisation = "osu" });
    for (int i = 0; i < 60; ++i)
        driver.submitOffer({ .id = "osu-" + std::to_string(i), .organisation = "osu" });
    const auto before = serveOneByOne(driver, "first", 30, 100, 100ms);
    for (int i = 0; i < 30; ++i)
        driver.submitOffer({ .id = "ridge-" + std::to_string(i), .organisation = "ridge" });
    const auto after = serveOneByOne(driver, before.back(), 20, 100, 100ms);
    CHECK(countWithPrefix(after, "osu-") >= 7);
    CHECK(countWithPrefix(after, "ridge-") >= 7);
}

TEST_CASE("requests of one organisation: the earliest start deadline is served first, requests that can no longer meet their target last")
{
    sidecar_driver driver({ .slots = 1 });
    driver.step(document_received { makeDocument({
        { .name = "quick", .tierRank = 1, .targets = { .total = 2000ms } },
        { .name = "slow", .tierRank = 1, .targets = { .total = 60000ms } },
    }) });
    driver.submitOffer({ .id = "running", .className = "slow" });
    driver.submitOffer({ .id = "slow", .className = "slow" });
    driver.submitOffer({ .id = "late", .className = "quick" });
    driver.advance(5s);
    driver.submitOffer({ .id = "quick", .className = "quick" });
    const auto order = serveOneByOne(driver, "running", 3, 1, 1ms);
    CHECK(order == std::vector<std::string> { "quick", "slow", "late" });
}

TEST_CASE("a class with a guaranteed share of 0.1 below a saturating higher tier: it gets about a tenth of the starts")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 10000, .starvationLimit = 1h, .maxStartInterval = 1h });
    driver.step(document_received { makeDocument({
        { .name = "high", .tierRank = 0 },
        { .name = "low", .tierRank = 2, .guaranteedShare = 0.1 },
    }) });
    driver.submitOffer({ .id = "first", .tierRank = 0, .className = "high" });
    for (int i = 0; i < 300; ++i) {
        driver.submitOffer({ .id = "high-" + std::to_string(i), .tierRank = 0, .className = "high" });
        driver.submitOffer({ .id = "low-" + std::to_string(i), .tierRank = 2, .className = "low" });
    }
    const auto order = serveOneByOne(driver, "first", 200, 10, 1ms);
    const auto low = countWithPrefix(order, "low-");
    CHECK(low >= 17);
    CHECK(low <= 20);
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("one slot that becomes free every 10 s and three saturated classes: none waits 60 s between two starts")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 10000 });
    driver.step(document_received { makeDocument({
        { .name = "high", .tierRank = 0, .guaranteedShare = 0 },
        { .name = "middle", .tierRank = 1, .guaranteedShare = 0 },
        { .name = "low", .tierRank = 2, .guaranteedShare = 0.001 },
    }) });
    driver.receive(subscribe { sidecar_driver::identity("entry-a"), 1 });
    driver.submitOffer({ .id = "first", .tierRank = 0, .className = "high" });
    for (int i = 0; i < 100; ++i) {
        for (const std::string name : { "high", "middle", "low" })
            driver.submitOffer({ .id = name + "-" + std::to_string(i), .className = name });
    }
    std::map<std::string, instant> lastStart { { "high", driver.now }, { "middle", driver.now }, { "low", driver.now } };
    std::string running = "first";
    for (int i = 0; i < 50; ++i) {
        for (int part = 0; part < 10; ++part) {
            driver.advance(1s);
            driver.receive(subscribe { sidecar_driver::identity("entry-a"), 1 });
        }
        running = driver.startedRequests(driver.finish(running)).at(0);
        lastStart[running.substr(0, running.find('-'))] = driver.now;
        for (const auto& [name, startedAt] : lastStart)
            CHECK(driver.now - startedAt < 60s);
    }
    CHECK(driver.reducer.invariants().violations().empty());
}

TEST_CASE("a full queue: a request of the organisation with the most waiting is displaced by one with none, but not by its own")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 4 });
    driver.submitOffer({ .id = "running" });
    for (int i = 0; i < 4; ++i)
        driver.submitOffer({ .id = "osu-" + std::to_string(i), .organisation = "osu" });
    const auto refused = driver.refusedRequests(driver.submitOffer({ .id = "ridge", .organisation = "ridge" }));
    CHECK(refused == std::vector<std::string> { "osu-3" });
    CHECK(driver.refusedRequests(driver.submitOffer({ .id = "osu-4", .organisation = "osu" })) == std::vector<std::string> { "osu-4" });
}

TEST_CASE("an arrival predicted to miss its target: it is refused immediately with a retry time if late answers are useless to its class")
{
    sidecar_driver driver({ .slots = 1 });
    driver.step(document_received { makeDocument({
        { .name = "lookup", .tierRank = 1, .targets = { .firstToken = 500ms }, .lateIsUseless = true },
        { .name = "question", .tierRank = 1, .targets = { .firstToken = 500ms } },
    }) });
    // One run of 2 s gives the sidecar an estimate of the time in a slot.
    driver.submitOffer({ .id = "first", .className = "question" });
    driver.advance(100ms);
    driver.produce("first", "a", 50);
    driver.advance(1900ms);
    driver.finish("first");
    driver.submitOffer({ .id = "running", .className = "question" });
    driver.submitOffer({ .id = "patient", .className = "question" });
    const auto effects = driver.submitOffer({ .id = "useless", .className = "lookup" });
    const auto refused = kumquat_test::sent<offer_refused, send_to_peer>(effects);
    REQUIRE(refused.size() == 1);
    CHECK(refused.at(0).header.attempt.requestId == "useless");
    CHECK(refused.at(0).reason == error_code::target_unreachable);
    CHECK(refused.at(0).retryAfter > 1000ms);
    CHECK(driver.reducer.queuedCount() == 1);
}

TEST_CASE("a waiting attempt of a class to which late answers are useless: it is refused when its start deadline passes")
{
    sidecar_driver driver({ .slots = 1 });
    driver.step(document_received { makeDocument({ { .name = "lookup", .tierRank = 1, .targets = { .firstToken = 500ms }, .lateIsUseless = true } }) });
    driver.submitOffer({ .id = "running" });
    driver.submitOffer({ .id = "lookup", .className = "lookup" });
    CHECK(driver.refusedRequests(driver.advance(499ms)).empty());
    CHECK(driver.refusedRequests(driver.advance(1ms)) == std::vector<std::string> { "lookup" });
}
