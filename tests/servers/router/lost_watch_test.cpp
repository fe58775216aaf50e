#include "tests/support/fleet_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

// A watch that the store never answers must not keep a router from what has changed: its silence looks as if nothing had.

namespace {

upstream_record makeRecord(const std::string& id, bool leaving = false)
{
    auto record = router_fixture::makeUpstream(id, "app", 1003);
    record.leaving = leaving;
    return record;
}

} // namespace

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
