#include "tests/support/router_fixture.h"

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
    router_fixture site;
    CHECK_FALSE(site.reducer.ready(site.now));
    site.advance(milliseconds(200));
    site.request(1, "/pay/x");
    CHECK(site.replyStatus() == 503);
    site.giveConfig(router_fixture::sampleConfig(), 5);
    CHECK_FALSE(site.reducer.ready(site.now));
    site.giveUpstreams({}, 5);
    CHECK(site.reducer.ready(site.now));
}

TEST_CASE("a request without a route is refused with 404, one with an unknown key with 401", "[router]")
{
    router_fixture site;
    site.start();
    site.request(1, "/nowhere/x");
    CHECK(site.replyStatus() == 404);
    site.request(2, "/pay/x", "other");
    CHECK(site.replyStatus() == 401);
}

TEST_CASE("a configuration with an older revision is ignored", "[router]")
{
    router_fixture site;
    site.start();
    auto newer = router_fixture::sampleConfig();
    newer.version = 2;
    newer.keys.clear();
    site.changeConfig(newer, 9);
    site.changeConfig(router_fixture::sampleConfig(), 5);
    CHECK(site.reducer.config()->version == 2);
    site.request(1, "/pay/x");
    CHECK(site.replyStatus() == 401);
}

TEST_CASE("an invalid configuration leaves the last valid one in force", "[router]")
{
    router_fixture site;
    site.start();
    site.step(config_read { site.configRead, store_changes<shared_config> { { { "main", 9, invalid_object { "bad" } } }, 9 } });
    CHECK(site.reducer.config()->version == 1);
    site.request(1, "/pay/x");
    CHECK(site.all<start_attempt>().size() == 1);
}

TEST_CASE("requests with a key are refused when the configuration was last confirmed 4.5 seconds ago", "[router]")
{
    router_fixture site;
    site.start();
    site.advance(milliseconds(4400));
    site.request(1, "/pay/x");
    CHECK(site.all<start_attempt>().size() == 1);
    site.advance(milliseconds(200));
    site.request(2, "/pay/x");
    CHECK(site.replyStatus() == 503);
    CHECK_FALSE(site.reducer.ready(site.now));
}

TEST_CASE("a router that was suspended refuses requests with a key until it has read the configuration again", "[router]")
{
    router_fixture site;
    site.start();
    site.step(clock_jumped { seconds(6) });
    site.request(1, "/pay/x");
    CHECK(site.replyStatus() == 503);
    site.giveConfig(router_fixture::sampleConfig(), 5);
    site.request(2, "/pay/x");
    CHECK(site.all<start_attempt>().size() == 1);
}

TEST_CASE("an upstream that is leaving or removed receives no further attempts", "[router]")
{
    router_fixture site;
    site.start();
    auto leaving = router_fixture::makeUpstream("app-1", "app", 1003);
    leaving.leaving = true;
    site.step(upstreams_read { site.upstreamRead, change(leaving, 9) });
    for (caller_id caller = 1; caller < 5; ++caller) {
        site.request(caller, "/pay/x");
        CHECK(site.only<start_attempt>().upstreamId == "app-2");
    }
    site.advance(seconds(3));
    site.giveUpstreams({}, 10);
    site.step(upstreams_read { site.upstreamRead, removal("app-2", 11) });
    site.request(9, "/pay/x");
    CHECK(site.replyStatus() == 503);
}

TEST_CASE("a record that expired in an outage of the store has two seconds to return", "[router]")
{
    router_fixture site;
    site.start();
    site.advance(seconds(5));
    site.step(upstreams_read { site.upstreamRead, store_read_failed { "down" } });
    site.step(config_read { site.configRead, store_read_failed { "down" } });
    site.advance(milliseconds(500));
    site.giveConfig(router_fixture::sampleConfig(), 5);
    site.giveUpstreams({ router_fixture::makeUpstream("app-1", "app", 1003) }, 9);
    CHECK(site.reducer.upstreams().find("app-2") != nullptr);
    site.advance(milliseconds(2100));
    CHECK(site.reducer.upstreams().find("app-2") == nullptr);
    CHECK(site.reducer.upstreams().find("app-1") != nullptr);
}

TEST_CASE("the loss of the change history leads to a new list at once, a failed read to a back-off", "[router]")
{
    router_fixture site;
    site.start();
    site.step(upstreams_read { site.upstreamRead, store_history_lost {} });
    const auto reads = site.all<read_store>();
    REQUIRE(reads.size() == 1);
    CHECK_FALSE(reads[0].sinceRevision.has_value());
    site.step(upstreams_read { site.upstreamRead, store_read_failed { "429" } });
    CHECK(site.all<read_store>().empty());
    CHECK_FALSE(router_fixture::all<read_store>(site.advance(seconds(1))).empty());
}

TEST_CASE("an upstream that restarts under the same id replaces the old one", "[router]")
{
    router_fixture site;
    site.start();
    auto again = router_fixture::makeUpstream("app-1", "app", 1003);
    again.startedUnixMs = 2;
    const auto before = site.reducer.upstreams().find("app-1");
    site.step(upstreams_read { site.upstreamRead, change(again, 9) });
    CHECK(site.reducer.upstreams().find("app-1") != before);
}

TEST_CASE("the first change of the upstream records is read at once, the following ones together", "[router]")
{
    router_fixture site;
    site.start();
    for (int peer = 0; peer < 30; ++peer) {
        router_digest digest;
        digest.instance = "entry-" + std::to_string(100 + peer);
        digest.incarnation = 1;
        digest.sequence = 1;
        site.step(digest_received { "127.0.1." + std::to_string(peer), digest });
    }
    site.advance(milliseconds(60));
    site.step(upstreams_read { site.upstreamRead, change(router_fixture::makeUpstream("app-3", "app", 1005), 6) });
    CHECK(site.all<read_store>().empty());
    CHECK(site.reducer.upstreams().find("app-3"));
    const auto effects = site.advance(milliseconds(450));
    const auto reads = router_fixture::all<read_store>(effects);
    CHECK(std::count_if(reads.begin(), reads.end(), [](const read_store& read) { return read.kind == store_kind::upstreams; }) == 1);
}

TEST_CASE("requests that arrive while a router starts wait for its first reads until these time out", "[router]")
{
    router_fixture site;
    site.request(1, "/pay/x");
    CHECK(site.all<refuse_reply>().empty());
    site.giveConfig(router_fixture::sampleConfig(), 5);
    CHECK(site.all<start_attempt>().empty());
    site.now += milliseconds(12);
    site.giveUpstreams({ router_fixture::makeUpstream("app-1", "app", 1003) }, 5);
    const auto attempt = site.only<start_attempt>();
    CHECK(attempt.request->requestId == "request-1");
    CHECK(attempt.timeLeft < milliseconds(1000 - 12));

    router_fixture without;
    without.request(1, "/pay/x");
    without.request(2, "/pay/x");
    without.step(caller_left { 2 });
    const auto refusals = router_fixture::all<refuse_reply>(without.advance(milliseconds(160)));
    REQUIRE(refusals.size() == 1);
    CHECK(httpStatus(refusals[0].refusal.code) == 503);
    without.request(3, "/pay/x");
    CHECK(without.replyStatus() == 503);
}
