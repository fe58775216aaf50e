#include "tests/support/draws.h"
#include "tests/support/fleet_fixture.h"
#include "tests/support/rate_limit_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

// A watch that the store never answers must not keep a router from what has changed: its silence looks as if nothing had.

namespace {

// After the store has answered all routers for this time, they are in touch with it.
constexpr auto contactTime = milliseconds(3000);
// A router in touch sends nothing to an upstream that has been leaving or gone for this time.
constexpr auto drainTime = milliseconds(2000);

upstream_record makeRecord(const std::string& id, bool leaving = false)
{
    auto record = router_fixture::makeUpstream(id, "app", 1003);
    record.leaving = leaving;
    return record;
}

// Silences of the store in series, each right after a record has changed, so that the next watches of the routers go into it.
class silent_store {
public:
    silent_store(unsigned seed, std::size_t routers)
        : m_random(seed)
        , m_routers(routers)
        , m_fleet(seed)
    {
        m_fleet.recordsSent = false;
        m_fleet.records = { makeRecord("app-0"), makeRecord("app-1"), makeRecord("app-2") };
        m_fleet.isStoreSilent = [this](std::size_t number) { return m_isSilent && (m_silentShare == 1 || number % 2 == 0); };
        for (std::size_t number = 0; number < routers; ++number)
            m_fleet.add("dc-" + std::to_string(number % 4));
        m_fleet.run(seconds(6));
    }

    // Returns how many routers don't know of what has changed since, once they have to.
    std::size_t playSilence()
    {
        m_silentShare = m_random() % 3 == 0 ? 0.5 : 1;
        m_fleet.putRecord(makeRecord("app-" + std::to_string(++m_added)));
        m_fleet.run(milliseconds(m_random() % 120));
        m_isSilent = true;
        m_fleet.run(milliseconds(200 + m_random() % (m_random() % 2 == 0 ? 1000 : 19800)));
        m_isSilent = false;
        m_fleet.run(contactTime);
        const auto leaving = "app-" + std::to_string(m_added - 1);
        const auto removed = "app-" + std::to_string(m_added - 2);
        if (m_random() % 2 == 0)
            m_fleet.putRecord(makeRecord(leaving, true));
        else
            m_fleet.removeRecord(leaving);
        m_fleet.removeRecord(removed);
        m_fleet.run(drainTime);
        std::size_t outdated = 0;
        for (std::size_t number = 0; number < m_routers; ++number) {
            const auto& upstreams = m_fleet.reducer(number).upstreams();
            const auto left = upstreams.find(leaving);
            outdated += (left && left->inService()) || upstreams.find(removed) ? 1 : 0;
        }
        return outdated;
    }

private:
    std::mt19937_64 m_random;
    std::size_t m_routers;
    fleet_fixture m_fleet;
    bool m_isSilent = false;
    double m_silentShare = 1;
    int m_added = 2;
};

void checkSeeds(std::size_t routers, unsigned seeds, int silences)
{
    for (unsigned seed = 1; seed <= playedDraws(seedCount(seeds)); ++seed) {
        silent_store store(seed, routers);
        for (int silence = 0; silence < silences; ++silence) {
            INFO("seed " << seed << ", silence " << silence);
            CHECK(store.playSilence() == 0);
        }
    }
}

} // namespace

TEST_CASE("routers whose watches all went into a silence of the store know who leaves once it is back", "[lost-watch]")
{
    SECTION("1 router") { checkSeeds(1, 60, 3); }
    SECTION("4 routers") { checkSeeds(4, 60, 3); }
    SECTION("30 routers") { checkSeeds(30, 20, 3); }
}

TEST_CASE("370 routers whose watches all went into a silence of the store know who leaves once it is back", "[lost-watch][slow]")
{
    checkSeeds(370, 1, 1);
}

TEST_CASE("a watch that is older than what the store's revision shows is replaced by a short one", "[lost-watch]")
{
    router_fixture fixture;
    fixture.start();
    const auto lost = fixture.upstreamRead;
    fixture.advance(milliseconds(900));
    const auto confirmation = fixture.configRead;
    fixture.step(config_read { confirmation, store_page<shared_config> { { { "main", 5, std::make_shared<const routing_config>(router_fixture::sampleConfig()) } }, false, 7 } });
    REQUIRE(fixture.all<cancel_store_read>().size() == 1);
    CHECK(fixture.only<cancel_store_read>().read == lost);
    const auto check = fixture.only<read_store>();
    CHECK(check.kind == store_kind::upstreams);
    CHECK(check.sinceRevision == 5);
    CHECK(check.wait < milliseconds(50));
    // What it brings is in force at once, and the next watch waits for changes again.
    fixture.step(upstreams_read { check.read, store_changes<upstream_record> { { { "app-1", 7, makeRecord("app-1", true) } }, 7 } });
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1")->inService());
}

TEST_CASE("a watch is not replaced while the store has nothing newer", "[lost-watch]")
{
    router_fixture fixture;
    fixture.start();
    fixture.advance(milliseconds(900));
    fixture.step(config_read { fixture.configRead, store_page<shared_config> { { { "main", 5, std::make_shared<const routing_config>(router_fixture::sampleConfig()) } }, false, 5 } });
    CHECK(fixture.all<cancel_store_read>().empty());
    CHECK(fixture.all<read_store>().empty());
}

// Guards against a watch that fails long after a silence and is taken for a new one: a removed upstream would be kept for a time.
TEST_CASE("a watch that fails late says nothing of a store that has answered since", "[lost-watch]")
{
    router_fixture fixture;
    fixture.start();
    const auto config = std::make_shared<const routing_config>(router_fixture::sampleConfig());
    bool hasFailed = false;
    for (int step = 0; step < 70; ++step) {
        const auto effects = fixture.advance(milliseconds(100));
        const auto logs = router_fixture::all<log_event>(effects);
        hasFailed = hasFailed || std::any_of(logs.begin(), logs.end(), [](const log_event& item) { return item.name == "store_lost"; });
        for (const auto& read : router_fixture::all<read_store>(effects)) {
            if (read.kind == store_kind::configuration && !read.sinceRevision)
                fixture.step(config_read { read.read, store_page<shared_config> { { { "main", 5, config } }, false, 5 } });
        }
        // The watch of the records is answered in time, that of the configuration never.
        if (step == 50)
            fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { {}, 5 } });
    }
    fixture.advance(milliseconds(200));
    CHECK(hasFailed);
    fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "app-1", 7, removed_object {} } }, 7 } });
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1"));
}

// Guards against a removed upstream that is kept because watches are cut off while the store answers every other call (DRAIN).
TEST_CASE("watches that are cut off again and again don't keep an upstream whose record was removed", "[lost-watch]")
{
    const auto interval = GENERATE(milliseconds(200), milliseconds(500), milliseconds(1700));
    CAPTURE(interval.count());
    router_fixture fixture;
    fixture.start();
    const auto config = std::make_shared<const routing_config>(router_fixture::sampleConfig());
    const std::vector<upstream_record> left { makeRecord("app-2"), router_fixture::makeUpstream("llm-1", "llm", 1001), router_fixture::makeUpstream("llm-2", "llm", 1002) };
    std::uint64_t watch = fixture.upstreamRead;
    const auto answerReads = [&](const router_effects& effects, const std::vector<upstream_record>& records, std::uint64_t revision) {
        for (const auto& read : router_fixture::all<read_store>(effects)) {
            if (read.kind == store_kind::configuration && !read.sinceRevision)
                fixture.step(config_read { read.read, store_page<shared_config> { { { "main", 5, config } }, false, revision } });
            if (read.kind == store_kind::upstreams && read.sinceRevision)
                watch = read.read;
            if (read.kind == store_kind::upstreams && !read.sinceRevision) {
                fixture.answerUpstreamList(records, revision);
                watch = fixture.upstreamRead;
            }
        }
    };
    const auto play = [&](duration elapsed, const std::vector<upstream_record>& records, std::uint64_t revision) {
        const auto end = fixture.now + elapsed;
        for (auto cutAt = fixture.now + interval; fixture.now < end;) {
            answerReads(fixture.advance(milliseconds(10)), records, revision);
            if (fixture.now < cutAt)
                continue;
            cutAt = fixture.now + interval;
            answerReads(fixture.step(upstreams_read { watch, store_read_failed { "status 503" } }), records, revision);
        }
    };
    auto all = left;
    all.push_back(makeRecord("app-1"));
    play(seconds(4), all, 5);
    CHECK(fixture.reducer.upstreams().find("app-1"));
    play(seconds(2), left, 6);
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1"));
}

// Guards against records that have expired in an outage being taken for removed, if another read than that of the records notices its end.
TEST_CASE("records that expired in an outage have time to return if the configuration is answered first", "[lost-watch]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(upstreams_read { fixture.upstreamRead, store_read_failed { "reset" } });
    const auto refuse = [&fixture](const router_effects& effects) {
        for (const auto& read : router_fixture::all<read_store>(effects)) {
            if (read.kind == store_kind::upstreams)
                fixture.step(upstreams_read { read.read, store_read_failed { "reset" } });
            else
                fixture.step(config_read { read.read, store_read_failed { "reset" } });
        }
    };
    for (int step = 0; step < 300; ++step)
        refuse(fixture.advance(milliseconds(10)));
    // The store is back: the next reads of both kinds are answered, that of the configuration first.
    std::optional<std::uint64_t> upstreamList;
    bool configIsAnswered = false;
    for (int step = 0; step < 300 && !(upstreamList && configIsAnswered); ++step) {
        for (const auto& read : router_fixture::all<read_store>(fixture.advance(milliseconds(10)))) {
            if (read.kind == store_kind::upstreams) {
                upstreamList = read.read;
                continue;
            }
            fixture.step(config_read { read.read, store_page<shared_config> { { { "main", 5, std::make_shared<const routing_config>(router_fixture::sampleConfig()) } }, false, 5 } });
            configIsAnswered = true;
        }
    }
    REQUIRE(upstreamList);
    REQUIRE(configIsAnswered);
    fixture.step(upstreams_read { *upstreamList, store_page<upstream_record> { { { "app-2", 6, makeRecord("app-2") } }, false, 6 } });
    CHECK(fixture.reducer.upstreams().find("app-1"));
}

// Guards against records that have expired in a silence of the store being taken for removed at once.
TEST_CASE("records that expire in a silence of the store have time to return at all routers", "[lost-watch]")
{
    bool isSilent = false;
    fleet_fixture fleet(1);
    fleet.records = { makeRecord("app-0"), makeRecord("app-1") };
    fleet.isStoreSilent = [&isSilent](std::size_t) { return isSilent; };
    for (std::size_t number = 0; number < 4; ++number)
        fleet.add("dc-" + std::to_string(number % 2));
    fleet.run(seconds(6));
    isSilent = true;
    fleet.run(seconds(4));
    fleet.removeRecord("app-0");
    fleet.run(seconds(1));
    isSilent = false;
    fleet.run(milliseconds(1500));
    for (std::size_t number = 0; number < fleet.size(); ++number)
        CHECK(fleet.reducer(number).upstreams().find("app-0"));
    fleet.run(seconds(4));
    for (std::size_t number = 0; number < fleet.size(); ++number)
        CHECK_FALSE(fleet.reducer(number).upstreams().find("app-0"));
}
