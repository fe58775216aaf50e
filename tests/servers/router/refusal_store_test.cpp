#include "servers/router/refusal_store.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::router;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const crash_suspect part { suspect_kind::prompt_part, 7 };
const auto start = instant() + std::chrono::hours(1);

store_page<aged_suspect> pageOf(std::initializer_list<aged_suspect> suspects, bool more = false)
{
    store_page<aged_suspect> page;
    page.more = more;
    for (const auto& item : suspects)
        page.entries.push_back({ "part-" + std::to_string(item.suspect.id), 1, item });
    return page;
}

// A store that has been listed, so that only writes remain.
refusal_store listedStore()
{
    refusal_store store(1);
    store.nextCall(start);
    store.onListed(pageOf({}), start);
    return store;
}

} // namespace

TEST_CASE("a router lists the refused suspects at its start, page by page", "[refusals]")
{
    refusal_store store(1);
    REQUIRE(store.nextCall(start));
    CHECK_FALSE(store.nextCall(start));
    const auto refused = store.onListed(pageOf({ { part, milliseconds(5000) } }, true), start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().suspect == part);
    const auto second = store.nextCall(start);
    REQUIRE(second);
    CHECK(std::get<list_refusals>(*second).after == "part-7");
    store.onListed(pageOf({}), start);
    CHECK_FALSE(store.nextCall(start + minutes(1)));
    CHECK_FALSE(store.nextCallAt());
}

TEST_CASE("a list that fails is requested again after a growing pause", "[refusals]")
{
    refusal_store store(1);
    auto now = start;
    duration lastPause {};
    for (int failure = 0; failure < 4; ++failure) {
        REQUIRE(store.nextCall(now));
        store.onListed(store_read_failed { "down" }, now);
        CHECK_FALSE(store.nextCall(now));
        const auto next = store.nextCallAt();
        REQUIRE(next);
        CHECK(*next - now > lastPause);
        lastPause = (*next - now) / 4;
        now = *next;
    }
}

TEST_CASE("lists that are requested often are read once a second", "[refusals]")
{
    refusal_store store(1);
    int lists = 0;
    for (auto now = start; now < start + seconds(10); now += milliseconds(50)) {
        store.requestList();
        if (!store.nextCall(now))
            continue;
        ++lists;
        store.onListed(pageOf({}), now);
    }
    CHECK(lists == 10);
}

TEST_CASE("a write that was not confirmed is repeated, one that finds the object replaces it", "[refusals]")
{
    auto store = listedStore();
    store.save(part, start);
    auto call = store.nextCall(start + seconds(2));
    REQUIRE(call);
    CHECK_FALSE(std::get<save_refusal>(*call).replaces);
    CHECK(std::get<save_refusal>(*call).refusal.age == milliseconds(2000));
    store.onTimeout(start + seconds(2));
    call = store.nextCall(start + seconds(5));
    REQUIRE(call);
    store.onWritten(store_write_outcome::conflict, start + seconds(5));
    call = store.nextCall(start + seconds(5));
    REQUIRE(call);
    CHECK(std::get<save_refusal>(*call).replaces);
    store.onWritten(store_write_outcome::written, start + seconds(5));
    CHECK_FALSE(store.nextCall(start + minutes(1)));
}

TEST_CASE("after a restore of the store a router writes again what it has written", "[refusals]")
{
    auto store = listedStore();
    store.save(part, start);
    store.nextCall(start);
    store.onWritten(store_write_outcome::written, start);
    store.saveAgain();
    CHECK(store.nextCall(start + seconds(1)));
}

TEST_CASE("a suspect that is cleared is removed, whoever wrote it", "[refusals]")
{
    auto store = listedStore();
    store.remove(part);
    const auto call = store.nextCall(start);
    REQUIRE(call);
    CHECK(std::get<remove_refusal>(*call).suspect == part);
    store.onWritten(store_write_outcome::conflict, start);
    CHECK_FALSE(store.nextCall(start + minutes(1)));
}

TEST_CASE("objects that were left behind long ago are removed and refuse nothing", "[refusals]")
{
    refusal_store store(1);
    store.nextCall(start);
    CHECK(store.onListed(pageOf({ { part, std::chrono::hours(3) } }), start).empty());
    const auto call = store.nextCall(start);
    REQUIRE(call);
    CHECK(std::holds_alternative<remove_refusal>(*call));
}
