#include "core/connection_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace kumquat {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t megabyte = 1'000'000;
    // The share of the smallest instance's 88 MB.
    constexpr std::size_t memoryBytes = 22 * megabyte;
    constexpr std::size_t largeBody = 4194304;

    const instant start {};

    connection_key callerKey(std::uint64_t id) { return { 0, id }; }

    void addCaller(connection_budget& budget, std::uint64_t id, const connection_load& load, instant now = start)
    {
        budget.add(callerKey(id), connection_side::caller, now);
        budget.update(callerKey(id), load, now);
    }

    bool contains(const std::vector<connection_key>& keys, std::uint64_t id) { return std::find(keys.begin(), keys.end(), callerKey(id)) != keys.end(); }

} // namespace

// Guards against a limit that a caller inside the configured limits reaches.
TEST_CASE("one request of legal size, its copy to the upstream and a full answer buffer stay below the pressure of the smallest instance", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    addCaller(budget, 1, { .heldBytes = 2 * largeBody, .requestInProgress = true });
    CHECK(budget.mayRead(2 * largeBody));
    CHECK(budget.maxUnsentBytes() == 262144);
    CHECK(budget.selectToClose(false, start + seconds(60)).empty());
}

// Answers 60 bodies of 4 MB that stop short of their end, beside ordinary callers.
TEST_CASE("bodies that stop short of their end are closed, largest first, and ordinary callers are read on", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    for (std::uint64_t id = 1; id <= 4; ++id)
        addCaller(budget, id, { .heldBytes = largeBody + id });
    addCaller(budget, 10, { .heldBytes = 600 });
    addCaller(budget, 11, { .heldBytes = largeBody * 2, .requestInProgress = true });
    // Above the bound, nothing is read before something has been closed.
    CHECK_FALSE(budget.mayRead(largeBody));
    CHECK_FALSE(budget.mayRead(0));
    const auto selected = budget.selectToClose(false, start + seconds(2));
    REQUIRE_FALSE(selected.empty());
    CHECK(selected.front() == callerKey(4));
    CHECK_FALSE(contains(selected, 11));
    CHECK_FALSE(contains(selected, 10));
    for (const auto& key : selected)
        budget.remove(key);
    CHECK(budget.mayRead(600));
    CHECK(budget.heldBytes() < memoryBytes / 4 * 3);
}

// Answers 400 callers that send requests ahead and read no answers. Guards against a budget that they fill together, so that ordinary
// and readiness requests are not read for seconds.
TEST_CASE("callers that send as much as they may leave room for requests of callers that hold nothing", "[connection]")
{
    constexpr std::uint64_t senders = 400;
    constexpr std::size_t readBytes = 65536;
    constexpr std::size_t waitingBytes = 131072;
    constexpr std::size_t ordinaryRequest = 600;
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    std::vector<std::size_t> held(senders);
    for (std::uint64_t id = 0; id < senders; ++id)
        addCaller(budget, id, {});
    for (bool hasRead = true; hasRead;) {
        hasRead = false;
        for (std::uint64_t id = 0; id < senders; ++id) {
            const auto size = std::min({ budget.maxReadBytes(held[id]), readBytes, waitingBytes - held[id] });
            held[id] += size;
            budget.update(callerKey(id), { .heldBytes = held[id] }, start);
            hasRead = hasRead || size > 0;
        }
    }
    CHECK(budget.memoryIsShort());
    CHECK(budget.heldBytes() < memoryBytes);
    CHECK(budget.maxReadBytes(0) >= ordinaryRequest);
}

// Answers a crowd of which none has stalled yet. Guards against a relief that the rest of the crowd takes up at once, so that callers
// which wait are not read for seconds.
TEST_CASE("at the bound connections are closed until there is room to read callers that wait", "[connection]")
{
    constexpr std::uint64_t senders = 400;
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    for (std::uint64_t id = 0; id < senders; ++id)
        addCaller(budget, id, { .heldBytes = memoryBytes / senders + 1 });
    REQUIRE(budget.maxReadBytes(0) == 0);
    for (const auto& key : budget.selectToClose(false, start))
        budget.remove(key);
    CHECK(budget.heldBytes() < memoryBytes / 8 * 7);
    CHECK(budget.heldBytes() > memoryBytes / 4 * 3);
    CHECK(budget.maxReadBytes(0) >= 32768);
}

// Guards against a caller that sends byte by byte and so never counts as stalled.
TEST_CASE("a caller that sends a few bytes a second makes no progress, one that sends on does", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    addCaller(budget, 1, { .heldBytes = memoryBytes / 2 });
    addCaller(budget, 2, { .heldBytes = memoryBytes / 3 });
    budget.update(callerKey(1), { .heldBytes = memoryBytes / 2, .transferredBytes = 2000 }, start + milliseconds(1500));
    budget.update(callerKey(2), { .heldBytes = memoryBytes / 3, .transferredBytes = 20 }, start + milliseconds(1500));
    const auto selected = budget.selectToClose(false, start + seconds(2));
    REQUIRE(selected.size() == 1);
    CHECK(selected.front() == callerKey(2));
}

// Answers slow readers of large answers: all hold a request in progress.
TEST_CASE("callers with a request in progress are closed only at the bound, those that do not read first", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    addCaller(budget, 1, { .heldBytes = memoryBytes / 2, .requestInProgress = true });
    addCaller(budget, 2, { .heldBytes = memoryBytes / 3, .requestInProgress = true });
    CHECK(budget.maxUnsentBytes() < 262144);
    CHECK(budget.maxAnswerReadBytes() < 65536);
    CHECK(budget.selectToClose(false, start + seconds(2)).empty());
    addCaller(budget, 3, { .heldBytes = memoryBytes, .requestInProgress = true }, start + seconds(2));
    const auto selected = budget.selectToClose(false, start + seconds(2));
    REQUIRE(selected.size() >= 2);
    CHECK(selected.front() == callerKey(1));
    CHECK(contains(selected, 2));
}

// Answers half-open connections, of which there are more than descriptors.
TEST_CASE("accepting stops before descriptors run out, and stalled connections make place for callers that wait", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 200 });
    std::uint64_t id = 0;
    while (budget.mayAccept())
        addCaller(budget, ++id, {});
    // A quarter is kept for upstreams.
    CHECK(id <= 150);
    CHECK(id >= 100);
    budget.update(callerKey(1), { .heldBytes = 100, .requestInProgress = true }, start);
    CHECK(budget.selectToClose(false, start + seconds(2)).empty());
    CHECK(budget.selectToClose(true, start + milliseconds(500)).empty());
    const auto selected = budget.selectToClose(true, start + seconds(2));
    REQUIRE_FALSE(selected.empty());
    CHECK_FALSE(contains(selected, 1));
    for (const auto& key : selected)
        budget.remove(key);
    CHECK(budget.mayAccept());
}

TEST_CASE("connections of upstreams count and are not closed", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 200 });
    budget.add({ 1, 1 }, connection_side::upstream, start);
    budget.update({ 1, 1 }, { .heldBytes = 2 * memoryBytes, .requestInProgress = true }, start);
    CHECK(budget.heldBytes() == 2 * memoryBytes);
    CHECK(budget.selectToClose(true, start + seconds(9)).empty());
    budget.remove({ 1, 1 });
    CHECK(budget.heldBytes() == 0);
    CHECK(budget.connectionCount() == 0);
}

// Guards against callers whose requests are at work being closed without an answer for memory that slow readers hold.
TEST_CASE("callers that wait for their upstream are closed after those that have not taken their answers", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    constexpr std::uint64_t readers = 400;
    constexpr std::uint64_t ordinary = 40;
    for (std::uint64_t id = 1; id <= ordinary; ++id)
        addCaller(budget, id, { .heldBytes = 34000, .requestInProgress = true, .awaitsUpstream = true });
    // The readers take a little each second, so none has stalled.
    for (std::uint64_t id = 1001; id <= 1000 + readers; ++id)
        addCaller(budget, id, { .heldBytes = memoryBytes / readers, .requestInProgress = true }, start + seconds(3));
    const auto selected = budget.selectToClose(false, start + seconds(3));
    REQUIRE_FALSE(selected.empty());
    CHECK(std::none_of(selected.begin(), selected.end(), [](const connection_key& key) { return key.id <= ordinary; }));
}

// Guards against large requests that are safe at the bound because they wait.
TEST_CASE("a caller that waits for its upstream and holds more than others is closed before them", "[connection]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    for (std::uint64_t id = 1; id <= 5; ++id)
        addCaller(budget, id, { .heldBytes = largeBody + id, .requestInProgress = true, .awaitsUpstream = true });
    for (std::uint64_t id = 11; id <= 50; ++id)
        addCaller(budget, id, { .heldBytes = 34000, .requestInProgress = true }, start + seconds(3));
    const auto selected = budget.selectToClose(false, start + seconds(3));
    REQUIRE_FALSE(selected.empty());
    CHECK(selected.front() == callerKey(5));
    CHECK(std::all_of(selected.begin(), selected.end(), [](const connection_key& key) { return key.id <= 5; }));
}

} // namespace kumquat
