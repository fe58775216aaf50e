#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

router_digest digestOf(const std::string& instance, std::uint64_t sequence)
{
    router_digest digest;
    digest.instance = instance;
    digest.dataCentre = "dc-a";
    digest.incarnation = 1;
    digest.sequence = sequence;
    digest.configPosition = { 0, 5 };
    digest.configVersion = 1;
    return digest;
}

router_options withSeeds()
{
    auto options = router_fixture::defaultOptions();
    options.settings.instance = "entry-2";
    options.settings.address = "10.0.0.2";
    options.settings.seeds = { "10.0.0.1", "10.0.0.2" };
    return options;
}

} // namespace

TEST_CASE("a router sends digests to its seeds and to the members that these name, until they expire", "[peers]")
{
    peer_group peers;
    const auto now = instant() + seconds(100);
    peers.setSelf("entry-2", { "10.0.0.2", "dc-a" }, { "10.0.0.1", "10.0.0.2" });
    CHECK(peers.digestTargets(now) == std::vector<std::string> { "10.0.0.1" });
    auto digest = digestOf("entry-1", 1);
    digest.members = { { "10.0.0.2", "dc-a" }, { "10.0.0.3", "dc-a" } };
    CHECK(peers.accept("10.0.0.1", digest, now));
    auto addresses = peers.digestTargets(now);
    std::sort(addresses.begin(), addresses.end());
    CHECK(addresses == std::vector<std::string> { "10.0.0.1", "10.0.0.3" });
    peers.expire(now + seconds(4));
    CHECK(peers.count() == 0);
    CHECK(peers.digestTargets(now + seconds(4)) == std::vector<std::string> { "10.0.0.1" });
}

TEST_CASE("the load of another router counts until it restarts or leaves, and old digests are ignored", "[peers]")
{
    peer_group peers;
    const auto now = instant() + seconds(100);
    auto digest = digestOf("entry-1", 2);
    digest.loads = { { 7, 3, 1, 900 } };
    CHECK(peers.accept("10.0.0.1", digest, now));
    CHECK(peers.loadOf(7).uncachedPromptTokens == 900);
    auto old = digestOf("entry-1", 1);
    CHECK_FALSE(peers.accept("10.0.0.1", old, now));
    CHECK(peers.loadOf(7).inFlight == 3);
    auto restarted = digestOf("entry-1", 1);
    restarted.incarnation = 2;
    CHECK(peers.accept("10.0.0.1", restarted, now));
    CHECK(peers.loadOf(7).inFlight == 0);
    auto leaving = digestOf("entry-1", 2);
    leaving.incarnation = 2;
    leaving.leaving = true;
    CHECK(peers.accept("10.0.0.1", leaving, now));
    CHECK(peers.count() == 0);
}

TEST_CASE("a confirmation by another router keeps keys valid, unless that router has a newer configuration", "[peers]")
{
    router_fixture fixture(withSeeds());
    fixture.start();
    std::uint64_t sequence = 0;
    for (int step = 0; step < 60; ++step) {
        fixture.advance(milliseconds(100));
        auto digest = digestOf("entry-1", ++sequence);
        digest.configAge = milliseconds(200);
        fixture.step(digest_received { "10.0.0.1", digest });
    }
    fixture.request(1, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
    auto newer = digestOf("entry-1", ++sequence);
    newer.configPosition = { 0, 6 };
    newer.configVersion = 2;
    newer.configAge = milliseconds(0);
    fixture.step(digest_received { "10.0.0.1", newer });
    fixture.request(2, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
}

TEST_CASE("a router whose records are older than those of another router lists them again", "[peers]")
{
    router_fixture fixture(withSeeds());
    fixture.start();
    auto digest = digestOf("entry-1", 1);
    digest.upstreamPosition = { 0, 50 };
    fixture.step(digest_received { "10.0.0.1", digest });
    int lists = 0;
    for (const auto& read : router_fixture::all<read_store>(fixture.advance(milliseconds(700))))
        lists += read.kind == store_kind::upstreams && !read.sinceRevision ? 1 : 0;
    CHECK(lists == 1);
}

TEST_CASE("the router that sorts first confirms the configuration, the next one only when no confirmations arrive", "[peers]")
{
    router_fixture first;
    first.start();
    CHECK(router_fixture::all<read_store>(first.advance(milliseconds(900))).size() == 1);

    router_fixture second(withSeeds());
    second.start();
    std::uint64_t sequence = 0;
    for (int step = 0; step < 20; ++step) {
        auto digest = digestOf("entry-1", ++sequence);
        digest.configAge = milliseconds(300);
        second.step(digest_received { "10.0.0.1", digest });
        CHECK(router_fixture::all<read_store>(second.advance(milliseconds(100))).empty());
    }
    CHECK_FALSE(router_fixture::all<read_store>(second.advance(milliseconds(1500))).empty());
}

TEST_CASE("a digest contains the outstanding load and the prompt parts that were sent", "[peers]")
{
    router_fixture fixture(withSeeds());
    fixture.start();
    fixture.step(digest_received { "10.0.0.1", digestOf("entry-1", 1) });
    fixture.request(1, "/stream/x");
    const auto digests = router_fixture::all<send_digest>(fixture.advance(milliseconds(200)));
    REQUIRE_FALSE(digests.empty());
    const auto& digest = digests.front().digest;
    REQUIRE(digest.loads.size() == 1);
    CHECK(digest.loads[0].inFlight == 1);
    REQUIRE(digest.cachedParts.size() == 1);
    CHECK(digest.cachedParts[0].part == 7);
}

TEST_CASE("a process that was stalled trusts no confirmation that may have waited in a socket", "[peers]")
{
    router_fixture fixture(withSeeds());
    fixture.start();
    auto digest = digestOf("entry-1", 1);
    digest.configAge = milliseconds(0);
    fixture.step(digest_received { "10.0.0.1", digest });
    // The process does not run for five seconds, in which a configuration without the key may have been published.
    fixture.now += seconds(5);
    fixture.step(process_stalled { seconds(5) });
    ++digest.sequence;
    fixture.step(digest_received { "10.0.0.1", digest });
    fixture.request(1, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.request(2, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
    fixture.advance(milliseconds(4700));
    ++digest.sequence;
    fixture.step(digest_received { "10.0.0.1", digest });
    fixture.request(3, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("the answer to a watch that was read after a stall confirms nothing", "[peers]")
{
    router_fixture fixture;
    fixture.start();
    const auto watch = fixture.configRead;
    fixture.now += seconds(5);
    fixture.step(process_stalled { seconds(5) });
    fixture.step(config_read { watch, store_changes<shared_config> { {}, 5 } });
    fixture.request(1, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
}

// Guards against a loss at each router when upstreams begin to drop connections together.
TEST_CASE("a dropped connection is told to the neighbours once its upstream is known to live, and believed from them alone", "[peers][connections]")
{
    const auto loseConnection = [](router_fixture& fixture, caller_id caller) {
        fixture.request(caller, "/pay/x");
        const auto attempt = fixture.only<start_attempt>();
        fixture.step(attempt_aborted { attempt.attemptNumber, true, "reset", connection_outcome::unknown, true });
        CHECK(fixture.all<send_stream_message>().empty());
        return fixture.only<check_connection>().check;
    };
    router_fixture fixture(withSeeds());
    fixture.start();
    fixture.step(digest_received { "10.0.0.1", digestOf("entry-1", 1) });
    SECTION("told")
    {
        fixture.step(connection_checked { loseConnection(fixture, 1), connection_outcome::accepted });
        const auto told = fixture.only<send_stream_message>();
        CHECK(told.addresses == std::vector<std::string> { "10.0.0.1" });
        CHECK(std::holds_alternative<dropped_connection>(told.message));
        // An upstream is checked again only after a pause.
        fixture.advance(milliseconds(400));
        fixture.step(connection_checked { loseConnection(fixture, 2), connection_outcome::accepted });
        CHECK(fixture.all<send_stream_message>().empty());
    }
    SECTION("crashed")
    {
        fixture.step(connection_checked { loseConnection(fixture, 1), connection_outcome::refused });
        CHECK(fixture.all<send_stream_message>().empty());
    }
    SECTION("believed")
    {
        fixture.step(stream_message_received { "10.0.0.9", dropped_connection {} });
        CHECK(fixture.all<distrust_connections>().empty());
        fixture.step(stream_message_received { "10.0.0.1", dropped_connection {} });
        CHECK(fixture.all<distrust_connections>().size() == 1);
    }
}
