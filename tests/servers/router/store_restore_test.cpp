#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

shared_config configOf(std::uint64_t version)
{
    auto config = router_fixture::sampleConfig();
    config.version = version;
    // Key "key-a" is revoked by version 2.
    if (version >= 2)
        config.keys = { { "key-b", { "org-a", std::nullopt } } };
    return std::make_shared<const routing_config>(std::move(config));
}

upstream_record app(const std::string& id, bool leaving = false)
{
    auto record = router_fixture::makeUpstream(id, "app", 1003);
    record.leaving = leaving;
    return record;
}

// Plays a store that names its era in each answer.
struct restorable_store {
    router_fixture& router;
    std::uint64_t era = 1;

    void listConfig(std::uint64_t version, std::uint64_t revision) const
    {
        router.step(config_read { router.configRead, store_page<shared_config> { { { "main", revision, configOf(version) } }, false, revision }, era });
    }

    void listUpstreams(const std::vector<upstream_record>& records, std::uint64_t revision) const
    {
        store_page<upstream_record> page;
        page.revision = revision;
        for (const auto& record : records)
            page.entries.push_back({ record.id, revision, record });
        router.step(upstreams_read { router.upstreamRead, std::move(page), era });
    }

    void changeUpstream(const upstream_record& record, std::uint64_t revision) const
    {
        router.step(upstreams_read { router.upstreamRead, store_changes<upstream_record> { { { record.id, revision, record } }, revision }, era });
    }

    void removeUpstream(const std::string& id, std::uint64_t revision) const
    {
        router.step(upstreams_read { router.upstreamRead, store_changes<upstream_record> { { { id, revision, removed_object {} } }, revision }, era });
    }

    // Comes back from an older copy, which the waiting watch of the records reveals.
    void restore()
    {
        ++era;
        router.step(upstreams_read { router.upstreamRead, store_history_lost {}, era });
    }
};

std::vector<store_kind> listsStarted(const router_effects& effects)
{
    std::vector<store_kind> kinds;
    for (const auto& read : router_fixture::all<read_store>(effects)) {
        if (!read.sinceRevision)
            kinds.push_back(read.kind);
    }
    return kinds;
}

bool acceptsApp(router_fixture& fixture, caller_id caller, const std::string& key)
{
    fixture.request(caller, "/pay/x", key);
    return !fixture.all<start_attempt>().empty();
}

router_digest peerDigest(std::uint64_t sequence, std::uint64_t era)
{
    router_digest digest;
    digest.dataCentre = "dc-a";
    digest.instance = "entry-0";
    digest.incarnation = 1;
    digest.sequence = sequence;
    digest.storeEra = era;
    return digest;
}

} // namespace

TEST_CASE("a router follows a restored store although its revisions are lower", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    store.restore();
    CHECK(listsStarted(fixture.effects) == std::vector { store_kind::upstreams, store_kind::configuration });
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    store.changeUpstream(app("app-2"), 81);
    CHECK(fixture.reducer.upstreams().find("app-2"));
}

TEST_CASE("a store that is restored twice in a row is followed again", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    store.restore();
    store.restore();
    CHECK(listsStarted(fixture.effects) == std::vector { store_kind::upstreams, store_kind::configuration });
    store.listConfig(1, 50);
    store.listUpstreams({ app("app-1"), app("app-2") }, 50);
    CHECK(fixture.reducer.upstreams().find("app-2"));
}

TEST_CASE("an older version in a restored store does not replace the one in force, and the rewritten newest one is adopted", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(2, 100);
    store.listUpstreams({ app("app-1") }, 100);
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(fixture.reducer.config()->version == 2);
    CHECK_FALSE(acceptsApp(fixture, 1, "key-a"));
    CHECK(acceptsApp(fixture, 2, "key-b"));
    fixture.step(config_read { fixture.configRead, store_changes<shared_config> { { { "main", 82, configOf(3) } }, 82 }, store.era });
    CHECK(fixture.reducer.config()->version == 3);
}

TEST_CASE("a restored store that lacks the configuration in force does not confirm it", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(2, 100);
    store.listUpstreams({ app("app-1") }, 100);
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    // The confirmation from before the restore holds for its remaining time.
    for (int step = 0; step < 40; ++step) {
        fixture.advance(milliseconds(100));
        store.listConfig(1, 80);
    }
    CHECK(acceptsApp(fixture, 1, "key-b"));
    fixture.advance(milliseconds(600));
    store.listConfig(1, 80);
    CHECK_FALSE(acceptsApp(fixture, 2, "key-b"));
    fixture.advance(milliseconds(100));
    store.listConfig(2, 82);
    CHECK(acceptsApp(fixture, 3, "key-b"));
}

TEST_CASE("a router that starts after a restore refuses keys while another router has a newer version in force", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture, 2 };
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(acceptsApp(fixture, 1, "key-a"));
    auto digest = peerDigest(1, 2);
    digest.configPosition = { 2, 80 };
    digest.configVersion = 2;
    fixture.step(digest_received { "10.0.0.9", digest });
    CHECK_FALSE(acceptsApp(fixture, 2, "key-a"));
    fixture.step(config_read { fixture.configRead, store_changes<shared_config> { { { "main", 82, configOf(2) } }, 82 }, store.era });
    CHECK(acceptsApp(fixture, 3, "key-b"));
}

TEST_CASE("an upstream that is missing from the restored store has two seconds to register again", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1"), app("app-2") }, 100);
    fixture.advance(seconds(5));
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(fixture.reducer.upstreams().find("app-2"));
    fixture.advance(milliseconds(2100));
    CHECK_FALSE(fixture.reducer.upstreams().find("app-2"));
}

TEST_CASE("an upstream that was leaving stays leaving after a restore until it restarts", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1", true) }, 100);
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK_FALSE(acceptsApp(fixture, 1, "key-a"));
    auto successor = app("app-1");
    successor.startedUnixMs = 2;
    store.changeUpstream(successor, 81);
    CHECK(acceptsApp(fixture, 2, "key-a"));
}

TEST_CASE("the record of a predecessor in a restored store does not replace its successor", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    auto successor = app("app-1");
    successor.startedUnixMs = 2;
    store.listConfig(1, 100);
    store.listUpstreams({ successor }, 100);
    const auto known = fixture.reducer.upstreams().find("app-1");
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(fixture.reducer.upstreams().find("app-1") == known);
    store.changeUpstream(successor, 81);
    CHECK(fixture.reducer.upstreams().find("app-1") == known);

    fixture.advance(seconds(3));
    store.removeUpstream("app-1", 82);
    fixture.advance(milliseconds(100));
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK_FALSE(acceptsApp(fixture, 1, "key-a"));
}

TEST_CASE("an upstream that took back its leaving before a restore is used after it", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1", true) }, 100);
    store.changeUpstream(app("app-1"), 101);
    CHECK(acceptsApp(fixture, 1, "key-a"));
    fixture.advance(milliseconds(100));
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(acceptsApp(fixture, 2, "key-a"));
}

TEST_CASE("an upstream that was removed before a restore is not used when the restored store still lists it", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.advance(seconds(5));
    store.removeUpstream("app-1", 101);
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1"));
    fixture.advance(milliseconds(100));
    store.restore();
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK_FALSE(acceptsApp(fixture, 1, "key-a"));
}

TEST_CASE("a restore during a list of several pages starts the list again", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    fixture.step(upstreams_read { fixture.upstreamRead, store_page<upstream_record> { { { "app-1", 90, app("app-1") } }, true, 100 }, store.era });
    ++store.era;
    fixture.step(upstreams_read { fixture.upstreamRead, store_page<upstream_record> { { { "app-2", 80, app("app-2") } }, false, 80 }, store.era });
    const auto reads = fixture.all<read_store>();
    REQUIRE_FALSE(reads.empty());
    CHECK(reads[0].after.empty());
    store.listUpstreams({ app("app-2") }, 80);
    CHECK(fixture.reducer.upstreams().find("app-2"));
    // What the first page listed before the restore has the usual time to return.
    fixture.advance(milliseconds(2100));
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1"));
    CHECK(fixture.reducer.upstreams().find("app-2"));
}

TEST_CASE("an answer of an older era is dropped", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    store.restore();
    store.listUpstreams({ app("app-1") }, 80);
    fixture.step(config_read { fixture.configRead, store_page<shared_config> { { { "main", 200, configOf(3) } }, false, 200 }, 1 });
    CHECK(fixture.reducer.config()->version == 1);
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(acceptsApp(fixture, 1, "key-a"));
}

TEST_CASE("an answer that names no era belongs to the current one", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "app-2", 101, app("app-2") } }, 101 }, std::nullopt });
    CHECK(fixture.reducer.upstreams().find("app-2"));
    CHECK(listsStarted(fixture.effects).empty());
}

TEST_CASE("a list with an older revision of the same era is requested again after a pause", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.step(upstreams_read { fixture.upstreamRead, store_history_lost {}, store.era });
    store.listUpstreams({ app("app-1") }, 80);
    CHECK(fixture.all<read_store>().empty());
    CHECK(listsStarted(fixture.advance(milliseconds(200))).size() == 1);
}

TEST_CASE("a router that hears of a restore from another router reads the store again, once for each era", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.step(digest_received { "10.0.0.9", peerDigest(1, 2) });
    CHECK(listsStarted(fixture.effects) == std::vector { store_kind::upstreams, store_kind::configuration });
    store.era = 2;
    store.listConfig(1, 80);
    store.listConfig(1, 80);
    store.listUpstreams({ app("app-1"), app("app-2") }, 80);
    CHECK(fixture.reducer.upstreams().find("app-2"));
    fixture.step(digest_received { "10.0.0.9", peerDigest(2, 2) });
    CHECK(fixture.all<read_store>().empty());
}

TEST_CASE("a reported era that the store does not name is ignored after one read", "[restore]")
{
    router_fixture fixture;
    restorable_store store { fixture };
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.step(digest_received { "10.0.0.9", peerDigest(1, 999) });
    store.listConfig(1, 100);
    store.listUpstreams({ app("app-1") }, 100);
    fixture.step(digest_received { "10.0.0.9", peerDigest(2, 999) });
    CHECK(listsStarted(fixture.effects).empty());
    CHECK(acceptsApp(fixture, 1, "key-a"));
}
