#include "tests/support/router_fixture.h"

#include <set>

using namespace kumquat;
using namespace kumquat::router;

namespace {

store_changes<upstream_record> change(const upstream_record& record, std::uint64_t revision)
{
    return { { { record.id, revision, record } }, revision };
}

store_changes<upstream_record> removal(const std::string& id, std::uint64_t revision)
{
    return { { { id, revision, removed_object {} } }, revision };
}

} // namespace

TEST_CASE("a router that has not read the store is not ready and refuses requests with 503", "[router]")
{
    router_fixture fixture;
    CHECK_FALSE(fixture.reducer.ready(fixture.now));
    fixture.advance(milliseconds(200));
    fixture.request(1, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    CHECK_FALSE(fixture.reducer.ready(fixture.now));
    fixture.answerUpstreamList({}, 5);
    CHECK(fixture.reducer.ready(fixture.now));
}

TEST_CASE("a request without a route is refused with 404, one with an unknown key with 401", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/nowhere/x");
    CHECK(fixture.replyStatus() == 404);
    fixture.request(2, "/pay/x", "other");
    CHECK(fixture.replyStatus() == 401);
}

TEST_CASE("a configuration with an older revision is ignored", "[router]")
{
    router_fixture fixture;
    fixture.start();
    auto newer = router_fixture::sampleConfig();
    newer.version = 2;
    newer.keys.clear();
    fixture.answerConfigWatch(newer, 9);
    CHECK(fixture.hasLog("config_without_keys"));
    fixture.answerConfigWatch(router_fixture::sampleConfig(), 5);
    CHECK(fixture.reducer.config()->version == 2);
    fixture.request(1, "/pay/x");
    CHECK(fixture.replyStatus() == 401);
}

TEST_CASE("an invalid configuration leaves the last valid one in force", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(config_read { fixture.configRead, store_changes<shared_config> { { { "main", 9, invalid_object { "bad" } } }, 9 } });
    CHECK(fixture.reducer.config()->version == 1);
    fixture.request(1, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("requests with a key are refused when the configuration was last confirmed 4.5 seconds ago", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.advance(milliseconds(4400));
    fixture.request(1, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
    fixture.advance(milliseconds(200));
    fixture.request(2, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
    CHECK_FALSE(fixture.reducer.ready(fixture.now));
}

TEST_CASE("a router that was suspended refuses requests with a key until it has read the configuration again", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(clock_jumped { seconds(6) });
    fixture.request(1, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.request(2, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("an upstream that is leaving or removed receives no further attempts", "[router]")
{
    router_fixture fixture;
    fixture.start();
    auto leaving = router_fixture::makeUpstream("app-1", "app", 1003);
    leaving.leaving = true;
    fixture.step(upstreams_read { fixture.upstreamRead, change(leaving, 9) });
    for (caller_id caller = 1; caller < 5; ++caller) {
        fixture.request(caller, "/pay/x");
        CHECK(fixture.only<start_attempt>().upstreamId == "app-2");
    }
    fixture.advance(seconds(3));
    fixture.answerUpstreamList({}, 10);
    fixture.step(upstreams_read { fixture.upstreamRead, removal("app-2", 11) });
    fixture.request(9, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
}

TEST_CASE("a record that expired in an outage of the store has two seconds to return", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.advance(seconds(5));
    fixture.step(upstreams_read { fixture.upstreamRead, store_read_failed { "down" } });
    fixture.step(config_read { fixture.configRead, store_read_failed { "down" } });
    fixture.advance(milliseconds(500));
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("app-1", "app", 1003) }, 9);
    CHECK(fixture.reducer.upstreams().find("app-2") != nullptr);
    fixture.advance(milliseconds(2100));
    CHECK(fixture.reducer.upstreams().find("app-2") == nullptr);
    CHECK(fixture.reducer.upstreams().find("app-1") != nullptr);
}

TEST_CASE("the loss of the change history leads to a new list at once, a failed read to a back-off", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(upstreams_read { fixture.upstreamRead, store_history_lost {} });
    const auto reads = fixture.all<read_store>();
    REQUIRE(reads.size() == 1);
    CHECK_FALSE(reads[0].sinceRevision.has_value());
    fixture.step(upstreams_read { fixture.upstreamRead, store_read_failed { "429" } });
    CHECK(fixture.all<read_store>().empty());
    CHECK_FALSE(router_fixture::all<read_store>(fixture.advance(seconds(1))).empty());
}

TEST_CASE("an upstream that restarts under the same id replaces the old one", "[router]")
{
    router_fixture fixture;
    fixture.start();
    auto restarted = router_fixture::makeUpstream("app-1", "app", 1003);
    restarted.startedUnixMs = 2;
    const auto original = fixture.reducer.upstreams().find("app-1");
    fixture.step(upstreams_read { fixture.upstreamRead, change(restarted, 9) });
    CHECK(fixture.reducer.upstreams().find("app-1") != original);
}

TEST_CASE("the first change of the upstream records is read at once, the following ones together", "[router]")
{
    router_fixture fixture;
    fixture.start();
    for (int peer = 0; peer < 30; ++peer) {
        router_digest digest;
        digest.dataCentre = "dc-a";
        digest.instance = "entry-" + std::to_string(100 + peer);
        digest.incarnation = 1;
        digest.sequence = 1;
        fixture.step(digest_received { "127.0.1." + std::to_string(peer), digest });
    }
    fixture.advance(milliseconds(60));
    fixture.step(upstreams_read { fixture.upstreamRead, change(router_fixture::makeUpstream("app-3", "app", 1005), 6) });
    CHECK(fixture.all<read_store>().empty());
    CHECK(fixture.reducer.upstreams().find("app-3"));
    const auto effects = fixture.advance(milliseconds(450));
    const auto reads = router_fixture::all<read_store>(effects);
    CHECK(std::count_if(reads.begin(), reads.end(), [](const read_store& read) { return read.kind == store_kind::upstreams; }) == 1);
}

TEST_CASE("requests that arrive while a router starts wait for its first reads until these time out", "[router]")
{
    router_fixture fixture;
    fixture.request(1, "/pay/x");
    CHECK(fixture.all<refuse_reply>().empty());
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    CHECK(fixture.all<start_attempt>().empty());
    fixture.now += milliseconds(12);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("app-1", "app", 1003) }, 5);
    const auto attempt = fixture.only<start_attempt>();
    CHECK(attempt.request->requestId == "request-1");
    CHECK(attempt.timeLeft < milliseconds(1000 - 12));

    router_fixture fixtureWithoutStore;
    fixtureWithoutStore.request(1, "/pay/x");
    fixtureWithoutStore.request(2, "/pay/x");
    fixtureWithoutStore.step(caller_left { 2 });
    const auto refusals = router_fixture::all<refuse_reply>(fixtureWithoutStore.advance(milliseconds(160)));
    REQUIRE(refusals.size() == 1);
    CHECK(httpStatus(refusals[0].refusal.code) == 503);
    fixtureWithoutStore.request(3, "/pay/x");
    CHECK(fixtureWithoutStore.replyStatus() == 503);
}

namespace {

store_page<upstream_record> page(const std::vector<std::string>& ids, bool more, std::uint64_t revision)
{
    store_page<upstream_record> result { {}, more, revision };
    for (const auto& id : ids)
        result.entries.push_back({ id, revision, router_fixture::makeUpstream(id, "app", 1003) });
    return result;
}

std::vector<read_store> upstreamReads(const router_effects& effects)
{
    auto reads = router_fixture::all<read_store>(effects);
    std::erase_if(reads, [](const read_store& read) { return read.kind != store_kind::upstreams; });
    return reads;
}

} // namespace

TEST_CASE("a list continues at the page that failed", "[router]")
{
    router_fixture fixture;
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-1", "app-2" }, true, 10) });
    CHECK(fixture.only<read_store>().after == "app-2");
    fixture.step(upstreams_read { fixture.upstreamRead, store_read_failed { "429" } });
    const auto reads = upstreamReads(fixture.advance(milliseconds(200)));
    REQUIRE(reads.size() == 1);
    CHECK(reads[0].after == "app-2");
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-3" }, false, 12) });
    CHECK(fixture.reducer.upstreams().size() == 3);
}

TEST_CASE("changes that were made while a list was read are watched from its first page on", "[router]")
{
    router_fixture fixture;
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-1" }, true, 10) });
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-2" }, false, 14) });
    const auto watch = fixture.only<read_store>();
    REQUIRE(watch.sinceRevision.has_value());
    CHECK(*watch.sinceRevision == 10);
}

TEST_CASE("a router serves with the upstreams of the first page, and removes missing ones only when the list is complete", "[router]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-1" }, true, 10) });
    CHECK(fixture.reducer.ready(fixture.now));
    fixture.request(1, "/pay/x");
    CHECK(fixture.only<start_attempt>().upstreamId == "app-1");
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-2" }, false, 10) });
    fixture.advance(seconds(3));
    fixture.step(upstreams_read { fixture.upstreamRead, store_history_lost {} });
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-2" }, true, 20) });
    CHECK(fixture.reducer.upstreams().find("app-1"));
    fixture.step(upstreams_read { fixture.upstreamRead, page({ "app-3" }, false, 20) });
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1"));
    CHECK(fixture.reducer.upstreams().size() == 2);
}

TEST_CASE("a read of the store goes on as long as parts of its answer arrive", "[router]")
{
    router_fixture fixture;
    const auto read = fixture.upstreamRead;
    for (int part = 0; part < 10; ++part) {
        fixture.advance(milliseconds(500));
        fixture.step(store_read_progressed { read });
    }
    fixture.step(upstreams_read { read, page({ "app-1" }, false, 10) });
    CHECK(fixture.reducer.upstreams().size() == 1);

    router_fixture silent;
    const auto abandoned = silent.upstreamRead;
    silent.advance(milliseconds(1000));
    silent.step(upstreams_read { abandoned, page({ "app-1" }, false, 10) });
    CHECK(silent.reducer.upstreams().size() == 0);
}

TEST_CASE("routers that fail together read the store again at different times", "[router]")
{
    std::set<std::int64_t> pauses;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        store_watcher<upstream_record> watcher(seed);
        const auto now = instant() + seconds(10);
        watcher.nextRead(now);
        watcher.onOutcome(store_read_failed { "429" }, now);
        const auto pause = *watcher.nextReadAt() - now;
        CHECK(pause >= milliseconds(20));
        CHECK(pause <= milliseconds(100));
        pauses.insert(std::chrono::duration_cast<milliseconds>(pause).count());
    }
    CHECK(pauses.size() > 10);
}
