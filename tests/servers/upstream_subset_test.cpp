#include "servers/entry/upstream_subset.h"
#include "tests/support/entry_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::entry_fixture;
using kumquat_test::only;

namespace {

constexpr int dataCentres = 7;

// Services m-0, m-1, ... with equally many sidecars each, distributed over the data centres.
std::vector<instance> fleetOf(int services, int sidecarsEach)
{
    std::vector<instance> listed;
    for (int service = 0; service < services; ++service) {
        for (int index = 0; index < sidecarsEach; ++index) {
            const auto name = "m-" + std::to_string(service);
            listed.push_back({ .id = name + "-" + std::to_string(index), .role = "sidecar", .service = name, .dataCentre = "dc-" + std::to_string(index % dataCentres) });
        }
    }
    return listed;
}

std::set<std::string> idsOf(const std::vector<instance>& instances)
{
    std::set<std::string> ids;
    for (const auto& item : instances)
        ids.insert(item.id);
    return ids;
}

} // namespace

TEST_CASE("an entry of a small site uses all sidecars")
{
    const auto listed = fleetOf(2, 12);
    CHECK(chooseSubset(listed, { .entryId = "e", .dataCentre = "dc-0", .entryCount = 3 }).size() == listed.size());
}

TEST_CASE("in a large fleet each entry uses at most 96 sidecars, two per service in its own data centre, and each sidecar has at least three entries")
{
    const auto listed = fleetOf(29, 27);
    std::map<std::string, int> entriesOf;
    for (int entry = 0; entry < 370; ++entry) {
        const auto home = "dc-" + std::to_string(entry % dataCentres);
        const auto subset = chooseSubset(listed, { .entryId = "entry-" + std::to_string(entry), .dataCentre = home, .entryCount = 370 });
        CHECK(subset.size() <= 96);
        const auto own = std::count_if(subset.begin(), subset.end(), [&](const auto& item) { return item.dataCentre == home; });
        CHECK(own == 29 * 2);
        for (const auto& item : subset)
            entriesOf[item.id]++;
    }
    CHECK(entriesOf.size() == listed.size());
    const auto fewest = std::min_element(entriesOf.begin(), entriesOf.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    CHECK(fewest->second >= 3);
}

TEST_CASE("three entries together use all of 300 sidecars")
{
    const auto listed = fleetOf(1, 300);
    std::set<std::string> reached;
    for (const auto* id : { "a", "b", "c" })
        reached.merge(idsOf(chooseSubset(listed, { .entryId = id, .dataCentre = "dc-0", .entryCount = 3 })));
    CHECK(reached.size() == 300);
}

TEST_CASE("a sidecar that does not report or is leaving is replaced by one other")
{
    const auto listed = fleetOf(29, 27);
    subset_request request { .entryId = "e", .dataCentre = "dc-0", .entryCount = 370 };
    const auto before = idsOf(chooseSubset(listed, request));
    request.notReporting = { *before.begin() };
    const auto after = idsOf(chooseSubset(listed, request));
    std::vector<std::string> common;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(common));
    CHECK(after.size() == before.size());
    CHECK(common.size() == before.size() - 1);
    auto leaving = listed;
    for (auto& item : leaving)
        item.leaving = item.id == *before.begin();
    request.notReporting.clear();
    CHECK(idsOf(chooseSubset(leaving, request)) == after);
}

TEST_CASE("an entry subscribes to its subset and adds replacements for sidecars that stop reporting")
{
    entry_options options;
    options.subset = { .linkLimit = 2, .minSubsetSize = 2, .minEntriesPerSidecar = 0 };
    entry_fixture fixture(6, options);
    const auto subscribed = [&](const entry_effects& effects) {
        std::set<std::string> addresses;
        for (const auto& send : only<send_to_sidecar>(effects)) {
            if (std::holds_alternative<subscribe>(send.message) && send.address.starts_with("tcp://kasa"))
                addresses.insert(send.address);
        }
        return addresses;
    };
    const auto first = subscribed(fixture.advance(1s));
    CHECK(first.size() == 2);
    // No sidecar reports any more: the two of the subset are replaced, and stay subscribed because they may report again.
    fixture.advance(4s);
    const auto later = subscribed(fixture.advance(1s));
    CHECK(later.size() == 4);
    CHECK(std::includes(later.begin(), later.end(), first.begin(), first.end()));
}

TEST_CASE("the report interval grows with the number of upstreams and is 1 s for a few")
{
    const auto requestedInterval = [](const entry_effects& effects) { return kumquat_test::sent<subscribe, send_to_sidecar>(effects).at(0).reportInterval; };
    entry_options options;
    options.reportBytesPerSecond = 2000;
    entry_fixture few(4, options);
    CHECK(requestedInterval(few.advance(1s)) == 1s);
    entry_fixture many(39, options);
    CHECK(requestedInterval(many.advance(4s)) == 4s);
}

TEST_CASE("an upstream that is no longer listed stays in the directory until its requests have ended")
{
    entry_fixture fixture(2);
    const auto header = kumquat_test::headerFor(fixture.sendRequest());
    fixture.step(instances_listed {});
    REQUIRE(fixture.reducer.upstreams().all().contains(header.sidecarId));
    CHECK(fixture.reducer.upstreams().all().at(header.sidecarId).ownInFlight == 1);
    CHECK(only<finish_answer>(fixture.receive(offer_finished { .header = header })).size() == 1);
    fixture.step(instances_listed {});
    CHECK(fixture.reducer.upstreams().all().empty());
}

TEST_CASE("requests to a service of 200 upstreams reach every upstream, although each searches windows of 32")
{
    entry_fixture fixture(200);
    std::set<std::string> used;
    for (int request = 0; request < 4000; ++request) {
        const auto effects = fixture.sendRequest();
        REQUIRE(kumquat_test::offersIn(effects).size() == 1);
        used.insert(only<send_to_sidecar>(effects).at(0).address);
        fixture.receive(offer_finished { .header = kumquat_test::headerFor(effects) });
        if (request % 100 == 0) {
            for (int index = 1; index <= 200; ++index)
                fixture.reportFrom("kasa-" + std::to_string(index), "kasa");
        }
    }
    CHECK(used.size() == 200);
    upstream_directory directory { 3500ms };
    const auto listed = fleetOf(1, 200);
    directory.applyList(listed, fixture.now);
    for (const auto& item : listed)
        directory.applyReport({ .from = { item.id, "", 1 }, .slots = 4 }, fixture.now);
    CHECK(directory.usable("m-0", fixture.now).size() == 200);
    CHECK(directory.usableWindow("m-0", 190, fixture.now).size() == upstream_directory::windowSize);
}

TEST_CASE("a request reaches the only usable upstream of a large service")
{
    entry_fixture fixture(100);
    for (int index = 1; index < 100; ++index)
        fixture.reportFrom("kasa-" + std::to_string(index), "kasa", true);
    CHECK(only<send_to_sidecar>(fixture.sendRequest()).at(0).address == "tcp://kasa-100");
}
