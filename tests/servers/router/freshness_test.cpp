#include "tests/support/draws.h"
#include "tests/support/fleet_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

store_page<shared_config> configPage(std::uint64_t storeRevision)
{
    return { { { "main", 5, std::make_shared<const routing_config>(router_fixture::sampleConfig()) } }, false, storeRevision };
}

// What another router says that has confirmed the configuration, and the records only if it has an age of them.
digest_received confirmation(std::uint64_t sequence, std::optional<milliseconds> recordsAge)
{
    router_digest digest;
    digest.instance = "entry-0";
    digest.dataCentre = "dc-a";
    digest.incarnation = 9;
    digest.sequence = sequence;
    digest.configPosition = { 0, 5 };
    digest.configVersion = 1;
    digest.upstreamPosition = { 0, 5 };
    digest.configAge = milliseconds(0);
    digest.recordsAge = recordsAge;
    return { "10.0.0.9", digest };
}

// How often a router that hears such confirmations for 12 s checks its records. Its watch is never answered.
int countChecks(std::optional<milliseconds> recordsAge)
{
    router_fixture fixture;
    fixture.start();
    int checks = 0;
    for (std::uint64_t sequence = 1; sequence <= 60; ++sequence) {
        auto effects = fixture.step(confirmation(sequence, recordsAge));
        const auto more = fixture.advance(milliseconds(200));
        effects.insert(effects.end(), more.begin(), more.end());
        for (const auto& read : router_fixture::all<read_store>(effects)) {
            if (read.kind != store_kind::upstreams || !read.sinceRevision || read.wait > milliseconds(50))
                continue;
            ++checks;
            fixture.step(upstreams_read { read.read, store_changes<upstream_record> { {}, 5 } });
        }
    }
    return checks;
}

struct calm_fleet {
    duration oldestRecords {};
    duration oldestConfig {};
    int readsInFiveSeconds = 0;
};

// One router confirms each 0.75 s, and each one begins its two watches anew after 20 s, or after 6 s if it is alone.
int maxReadsInFiveSeconds(std::size_t routers)
{
    return 10 + static_cast<int>(routers) / 2;
}

// The ages of what routers know while nothing happens, and their reads of the store.
calm_fleet playCalm(std::size_t routers)
{
    calm_fleet seen;
    fleet_fixture fleet(1);
    fleet.recordsSent = false;
    for (std::size_t number = 0; number < routers; ++number)
        fleet.add("dc-" + std::to_string(number % 4));
    fleet.run(seconds(8));
    fleet.onEffect = [&seen](std::size_t, const router_effect& effect) { seen.readsInFiveSeconds += std::holds_alternative<read_store>(effect) ? 1 : 0; };
    for (int step = 0; step < 50; ++step) {
        fleet.run(milliseconds(100));
        for (std::size_t number = 0; number < routers; ++number) {
            seen.oldestRecords = std::max(seen.oldestRecords, fleet.reducer(number).knowledgeAge(knowledge::upstream_records, fleet.now()).age.value());
            seen.oldestConfig = std::max(seen.oldestConfig, fleet.reducer(number).knowledgeAge(knowledge::configuration, fleet.now()).age.value());
        }
    }
    return seen;
}

// Each router begins two watches anew, and some confirm the configuration, or notice the return by a confirmation that had failed.
int maxReadsAfterSilence(std::size_t routers)
{
    return 10 + 2 * static_cast<int>(routers);
}

// The reads of the store in the first second after a silence.
int countReadsAfterSilence(std::size_t routers)
{
    int reads = 0;
    bool isSilent = false;
    fleet_fixture fleet(1);
    fleet.recordsSent = false;
    fleet.isStoreSilent = [&isSilent](std::size_t) { return isSilent; };
    for (std::size_t number = 0; number < routers; ++number)
        fleet.add("dc-" + std::to_string(number % 4));
    // The first watches, which have begun without a neighbour, are over.
    fleet.run(seconds(8));
    isSilent = true;
    fleet.run(seconds(5));
    isSilent = false;
    fleet.onEffect = [&reads](std::size_t, const router_effect& effect) { reads += std::holds_alternative<read_store>(effect) ? 1 : 0; };
    fleet.run(seconds(1));
    return reads;
}

} // namespace

// Guards against a burst of calls from all routers when the store is back.
TEST_CASE("after a silence each router begins its two watches anew, and few confirm", "[freshness]")
{
    const auto routers = GENERATE(std::size_t(4), std::size_t(30));
    const auto reads = countReadsAfterSilence(routers);
    CAPTURE(routers);
    CHECK(reads <= maxReadsAfterSilence(routers));
}

TEST_CASE("after a silence each of 300 routers begins its two watches anew, and few confirm", "[freshness][slow]")
{
    const auto routers = playedDraws(300);
    CHECK(countReadsAfterSilence(routers) <= maxReadsAfterSilence(routers));
}

// Guards against a watch that is trusted although nobody has confirmed for seconds that it has missed nothing.
TEST_CASE("records that no router confirms are checked while the store answers", "[freshness]")
{
    CHECK(countChecks(milliseconds(300)) == 0);
    const int checks = countChecks(std::nullopt);
    CHECK(checks >= 3);
    CHECK(checks <= 6);
}

// Guards against confirmations that get lost between routers, and against calls to the store that each router makes.
TEST_CASE("in calm every router knows that its records and configuration are the newest", "[freshness]")
{
    const auto routers = GENERATE(std::size_t(1), std::size_t(4), std::size_t(30));
    const auto seen = playCalm(routers);
    CAPTURE(routers, seen.readsInFiveSeconds);
    CHECK(seen.oldestRecords < milliseconds(2500));
    CHECK(seen.oldestConfig < milliseconds(2500));
    CHECK(seen.readsInFiveSeconds <= maxReadsInFiveSeconds(routers));
}

TEST_CASE("in calm each of 370 routers knows that its records and configuration are the newest", "[freshness][slow]")
{
    const auto routers = playedDraws(370);
    const auto seen = playCalm(routers);
    CAPTURE(seen.readsInFiveSeconds);
    CHECK(seen.oldestRecords < milliseconds(2500));
    CHECK(seen.oldestConfig < milliseconds(2500));
    CHECK(seen.readsInFiveSeconds <= maxReadsInFiveSeconds(routers));
}

// Guards against an operator who can't see that a router acts on old knowledge.
TEST_CASE("outdated knowledge is logged once, and so is its confirmation", "[freshness]")
{
    router_fixture fixture;
    fixture.start();
    const auto silent = fixture.advance(seconds(6));
    const auto logged = [](const router_effects& effects, const std::string& name) {
        const auto logs = router_fixture::all<log_event>(effects);
        return std::count_if(logs.begin(), logs.end(), [&name](const log_event& item) { return item.name == name; });
    };
    CHECK(logged(silent, "knowledge_outdated") == 2);
    auto effects = fixture.advance(milliseconds(1500));
    for (const auto& read : router_fixture::all<read_store>(effects)) {
        if (read.kind == store_kind::configuration && !read.sinceRevision)
            fixture.step(config_read { read.read, configPage(5) });
    }
    effects = fixture.advance(milliseconds(500));
    CHECK(logged(effects, "knowledge_outdated") == 0);
    CHECK(logged(effects, "knowledge_confirmed") >= 1);
}
