#include "servers/entry/expected_wait.h"
#include "servers/entry/upstream_selector.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

struct routing_fixture {
    upstream_directory directory { 3500ms };
    instant now { 1h };
    std::vector<std::string> ids;

    explicit routing_fixture(int upstreams)
    {
        std::vector<instance> listed;
        for (int index = 0; index < upstreams; ++index) {
            ids.push_back("kasa-" + std::to_string(index));
            listed.push_back({ .id = ids.back(), .role = "sidecar", .service = "kasa", .dataCentre = "tema", .address = "tcp://" + ids.back() });
        }
        directory.applyList(listed, now);
        for (const auto& id : ids)
            reportLoad(id, {});
    }

    void reportLoad(const std::string& id, std::vector<tier_load> tiers, double tokensPerSecond = 50)
    {
        report message;
        message.from = { id, "tcp://" + id, 1 };
        message.service = "kasa";
        message.slots = 4;
        message.tokensPerSecond = tokensPerSecond;
        message.tiers = std::move(tiers);
        directory.applyReport(message, now);
    }

    std::map<std::string, int> countChoices(upstream_selector& selector, const selection_request& request, int rounds = 1000)
    {
        std::map<std::string, int> counts;
        for (int round = 0; round < rounds; ++round)
            counts[selector.select(directory.usable("kasa", now), request, now)->id]++;
        return counts;
    }
};

const selection_request anyRequest { .service = "kasa", .tierRank = 1, .expectedTokens = 100 };

} // namespace

TEST_CASE("round robin selects the upstreams in turn")
{
    routing_fixture fixture(3);
    upstream_selector selector(round_robin_routing {}, "tema", 1);
    const auto counts = fixture.countChoices(selector, anyRequest, 9);
    CHECK(counts == std::map<std::string, int> { { "kasa-0", 3 }, { "kasa-1", 3 }, { "kasa-2", 3 } });
}

TEST_CASE("least loaded selects the upstream with the least work of the same or a higher tier")
{
    routing_fixture fixture(2);
    fixture.reportLoad("kasa-0", { { .rank = 1, .running = 2, .expectedTokens = 200 } });
    fixture.reportLoad("kasa-1", { { .rank = 2, .running = 4, .queued = 9, .expectedTokens = 4000 } });
    upstream_selector selector(least_loaded_routing {}, "tema", 1);
    CHECK(selector.select(fixture.directory.usable("kasa", fixture.now), anyRequest, fixture.now)->id == "kasa-1");
}

TEST_CASE("expected wait avoids the loaded upstream and spreads requests over equally loaded ones")
{
    routing_fixture fixture(4);
    fixture.reportLoad("kasa-0", { { .rank = 1, .running = 4, .queued = 40, .expectedTokens = 4400 } });
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    auto counts = fixture.countChoices(selector, anyRequest);
    CHECK(counts["kasa-0"] == 0);
    for (const auto* id : { "kasa-1", "kasa-2", "kasa-3" })
        CHECK(counts[id] > 200);
}

TEST_CASE("estimated load adds requests sent since the report and subtracts progress since it")
{
    routing_fixture fixture(1);
    fixture.reportLoad("kasa-0", { { .rank = 1, .running = 4, .queued = 4, .expectedTokens = 800 } });
    auto& upstream = *fixture.directory.find("kasa-0");
    const auto fresh = estimateLoad(upstream, 1, fixture.now);
    CHECK(fresh.tokensAhead == Approx(800));
    CHECK_FALSE(fresh.hasFreeSlot());
    // Four runs at 50 tokens a second finish 600 of the tokens in three seconds.
    CHECK(estimateLoad(upstream, 1, fixture.now + 3s).tokensAhead == Approx(200));
    upstream.unreportedLoad[1] = { .requests = 1, .tokens = 100 };
    upstream.unreportedLoad[2] = { .requests = 1, .tokens = 700 };
    CHECK(estimateLoad(upstream, 1, fixture.now).tokensAhead == Approx(900));
    CHECK(estimateLoad(upstream, 0, fixture.now).tokensAhead == Approx(0));
}

TEST_CASE("requests go to the upstream that has their prefix cached until it is loaded")
{
    routing_fixture fixture(4);
    const std::vector<std::uint64_t> prefix { 11, 12, 13, 14, 15 };
    fixture.directory.find("kasa-2")->prefixCache.addPrompt(prefix);
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    auto request = anyRequest;
    request.prefixHashes = &prefix;
    CHECK(fixture.countChoices(selector, request)["kasa-2"] == 1000);
    fixture.reportLoad("kasa-2", { { .rank = 1, .running = 4, .queued = 8, .expectedTokens = 1200 } });
    CHECK(fixture.countChoices(selector, request)["kasa-2"] == 0);
}

TEST_CASE("prefix cache model evicts the least recently used prefixes")
{
    prefix_cache_model cache(2);
    cache.addPrompt({ 1, 2 });
    cache.addPrompt({ 1 });
    cache.addPrompt({ 3 });
    CHECK(cache.size() == 2);
    CHECK(cache.matchLength({ 1, 3, 2 }) == 2);
}

TEST_CASE("a straggler receives few requests, and its weight rises gradually after it has recovered")
{
    routing_fixture fixture(4);
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    auto& straggler = *fixture.directory.find("kasa-3");
    SECTION("detected by its reported rate") { fixture.reportLoad("kasa-3", {}, 10); }
    SECTION("detected by the observed time between its chunks")
    {
        for (const auto& id : fixture.ids)
            fixture.directory.find(id)->speed.observeTokenInterval(id == "kasa-3" ? 100ms : 20ms, fixture.now);
        fixture.reportLoad("kasa-3", {});
    }
    CHECK(straggler.speed.weight() == Approx(0.2));
    // It is selected only when both random samples are the straggler.
    CHECK(fixture.countChoices(selector, anyRequest)["kasa-3"] < 125);
    fixture.now += 1s;
    fixture.reportLoad("kasa-3", {}, 51);
    for (int sample = 0; sample < 50; ++sample)
        straggler.speed.observeTokenInterval(20ms, fixture.now);
    fixture.reportLoad("kasa-3", {}, 50);
    CHECK(straggler.speed.weight() < 0.3);
    fixture.now += 40s;
    fixture.reportLoad("kasa-3", {}, 50);
    CHECK(straggler.speed.weight() == Approx(1));
}

TEST_CASE("a straggler without new samples regains weight up to the straggler ratio")
{
    routing_fixture fixture(3);
    fixture.reportLoad("kasa-0", {}, 10);
    auto& straggler = *fixture.directory.find("kasa-0");
    CHECK(straggler.speed.weight() == Approx(0.2));
    for (int second = 0; second < 60; ++second) {
        fixture.now += 1s;
        fixture.reportLoad("kasa-0", {}, 10);
    }
    CHECK(straggler.speed.weight() == Approx(0.5));
    CHECK(estimateLoad(straggler, 1, fixture.now).tokensPerSecond == Approx(25));
}

TEST_CASE("a service whose upstreams are all equally slow uses all of them")
{
    routing_fixture fixture(3);
    for (const auto& id : fixture.ids)
        fixture.reportLoad(id, {}, 2);
    for (const auto& id : fixture.ids)
        fixture.reportLoad(id, {}, 2);
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    CHECK(fixture.countChoices(selector, anyRequest).size() == 3);
}

TEST_CASE("after a refusal a request goes to an upstream with queued work of a lower tier")
{
    routing_fixture fixture(3);
    fixture.reportLoad("kasa-0", { { .rank = 1, .running = 4, .queued = 1, .expectedTokens = 500 } });
    fixture.reportLoad("kasa-1", { { .rank = 1, .running = 4, .queued = 9, .expectedTokens = 1300 }, { .rank = 2, .queued = 1, .expectedTokens = 400 } });
    fixture.reportLoad("kasa-2", { { .rank = 1, .running = 4, .queued = 1, .expectedTokens = 500 } });
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    const std::set<std::string> triedUpstreams { "kasa-0" };
    auto request = anyRequest;
    request.triedUpstreams = &triedUpstreams;
    request.refusedForLoad = true;
    CHECK(selector.select(fixture.directory.usable("kasa", fixture.now), request, fixture.now)->id == "kasa-1");
}

TEST_CASE("among equally loaded upstreams those of the own data centre are preferred")
{
    routing_fixture fixture(4);
    fixture.directory.find("kasa-1")->dataCentre = "spintex";
    upstream_selector selector(expected_wait_routing {}, "tema", 1);
    // The remote upstream is selected only when both random samples are it.
    CHECK(fixture.countChoices(selector, anyRequest)["kasa-1"] < 125);
}

TEST_CASE("selectors with equal seeds make equal selections")
{
    routing_fixture fixture(8);
    upstream_selector left(expected_wait_routing {}, "tema", 7);
    upstream_selector right(expected_wait_routing {}, "tema", 7);
    for (int round = 0; round < 100; ++round)
        CHECK(left.select(fixture.directory.usable("kasa", fixture.now), anyRequest, fixture.now) == right.select(fixture.directory.usable("kasa", fixture.now), anyRequest, fixture.now));
}
