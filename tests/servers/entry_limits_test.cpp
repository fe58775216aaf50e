#include "tests/support/entry_fixture.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::entry_fixture;
using kumquat_test::headerFor;
using kumquat_test::offersIn;
using kumquat_test::only;

namespace {

document_ptr limitedDocument(organisation_limits limits)
{
    auto contents = kumquat_test::sampleDocument()->contents();
    contents.generation = 2;
    contents.organisations.at(0).limits = limits;
    return std::make_shared<const document_index>(contents);
}

// Entries that exchange leases in virtual time. Every request is answered at once, so that only the rate limit has an effect.
struct limited_fleet {
    std::deque<entry_reducer> entries;
    instant now { 1h };
    std::set<std::size_t> unreachable;
    int admitted = 0;
    channel_id nextChannel = 1;

    limited_fleet(int count, organisation_limits limits)
    {
        std::vector<instance> listed { { .id = "kasa-1", .role = "sidecar", .service = "kasa", .address = "tcp://kasa-1" } };
        for (int index = 0; index < count; ++index)
            listed.push_back({ .id = "entry-" + std::to_string(index), .role = "entry", .address = std::to_string(index) });
        for (int index = 0; index < count; ++index) {
            entries.emplace_back(entry_options { .id = "entry-" + std::to_string(index), .address = std::to_string(index), .incarnation = 3 });
            step(entries.size() - 1, entry_document_received { limitedDocument(limits) });
            step(entries.size() - 1, instances_listed { listed });
        }
    }

    void step(std::size_t entryIndex, const entry_event& event)
    {
        entry_effects effects;
        entries.at(entryIndex).step(event, now, effects);
        for (const auto& send : only<send_to_entry>(effects)) {
            const auto to = std::stoul(send.address);
            if (!unreachable.contains(to) && !unreachable.contains(entryIndex))
                step(to, entry_peer_received { send.message });
        }
        for (const auto& send : only<send_to_sidecar>(effects)) {
            const auto* request = std::get_if<offer>(&send.message);
            if (!request)
                continue;
            admitted++;
            step(entryIndex, entry_peer_received { offer_finished { .header = { request->attempt, "kasa-1", request->sidecarIncarnation } } });
        }
    }

    // Sends each entry its number of requests per second for the given time, and returns how many were admitted in total.
    int run(std::chrono::seconds span, const std::vector<int>& perSecond)
    {
        admitted = 0;
        const auto end = now + span;
        for (int tick = 0; now < end; ++tick, now += 10ms) {
            for (std::size_t entryIndex = 0; entryIndex < entries.size(); ++entryIndex) {
                report message;
                message.from = { "kasa-1", "tcp://kasa-1", 70 };
                message.slots = 4;
                if (tick % 100 == 0)
                    step(entryIndex, entry_peer_received { message });
                if (entries.at(entryIndex).nextDeadline() && *entries.at(entryIndex).nextDeadline() <= now)
                    step(entryIndex, entry_timer_due {});
                if (perSecond.at(entryIndex) > 0 && tick % (100 / perSecond.at(entryIndex)) == 0)
                    step(entryIndex, caller_arrived { nextChannel++, entry_fixture::request("/v1/chat/completions") });
            }
        }
        return admitted;
    }
};

constexpr int limit = 20;
constexpr int burst = 10;

} // namespace

TEST_CASE("a single entry refuses requests above the rate limit and states the time after which a retry is admitted")
{
    entry_fixture fixture;
    fixture.step(entry_document_received { limitedDocument({ .requestsPerSecond = 2, .burst = 3 }) });
    for (int request = 0; request < 3; ++request)
        CHECK(only<fail_answer>(fixture.sendRequest()).empty());
    const auto failed = only<fail_answer>(fixture.sendRequest());
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.code == error_code::rate_limited);
    CHECK(failed.at(0).error.ran == ran_state::no);
    REQUIRE(failed.at(0).error.retryAfter);
    fixture.advance(*failed.at(0).error.retryAfter);
    CHECK(only<fail_answer>(fixture.sendRequest()).empty());
}

TEST_CASE("the concurrency limit admits a new request after one in flight has been answered or abandoned")
{
    entry_fixture fixture;
    fixture.step(entry_document_received { limitedDocument({ .concurrency = 2 }) });
    const auto first = fixture.sendRequest();
    fixture.sendRequest();
    const auto failed = only<fail_answer>(fixture.sendRequest());
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.code == error_code::too_many_in_flight);
    SECTION("answered") { fixture.receive(offer_finished { .header = headerFor(first) }); }
    SECTION("abandoned") { fixture.step(caller_disconnected { 1 }); }
    CHECK(offersIn(fixture.sendRequest()).size() == 1);
    CHECK(offersIn(fixture.sendRequest()).empty());
}

TEST_CASE("entries with unequal demand together admit at least 80 % of the rate limit and at most the limit plus the burst")
{
    limited_fleet fleet(3, { .requestsPerSecond = limit, .burst = burst });
    fleet.run(20s, { 50, 1, 1 });
    const int admitted = fleet.run(20s, { 50, 1, 1 });
    CHECK(admitted <= 20 * limit + burst);
    CHECK(admitted >= 20 * limit * 8 / 10);
}

TEST_CASE("while one entry is unreachable, the entries together admit at least 80 % and at most twice the limit")
{
    for (std::size_t isolated = 0; isolated < 3; ++isolated) {
        limited_fleet fleet(3, { .requestsPerSecond = limit, .burst = burst });
        fleet.run(20s, { 50, 50, 50 });
        fleet.unreachable = { isolated };
        const int admitted = fleet.run(60s, { 50, 50, 50 });
        CHECK(admitted <= 2 * (60 * limit + burst));
        CHECK(admitted >= 60 * limit * 8 / 10);
    }
}

TEST_CASE("shares of expired leases add at most the limit once more when demand moves between entries that are then cut off")
{
    constexpr std::size_t count = 5;
    limited_fleet fleet(count, { .requestsPerSecond = limit, .burst = burst });
    std::vector<std::string> ids;
    for (const auto& entry : fleet.entries)
        ids.push_back(entry.options().id);
    const auto allocatingEntry = allocatingEntryOf("osu", ids);
    // Each entry in turn is granted nearly the whole limit and is then cut off from the others.
    for (std::size_t entryIndex = 0; entryIndex < count; ++entryIndex) {
        if (ids.at(entryIndex) == allocatingEntry)
            continue;
        std::vector<int> demand(count, 0);
        demand.at(entryIndex) = 50;
        fleet.run(20s, demand);
        fleet.unreachable.insert(entryIndex);
    }
    const int admitted = fleet.run(30s, std::vector<int>(count, 50));
    CHECK(admitted <= 2 * (30 * limit + burst));
}

TEST_CASE("unexpired leases together never exceed the limit")
{
    const organisation limitedOrganisation { .name = "osu", .limits = { .requestsPerSecond = 30, .burst = 30, .concurrency = 12 } };
    lease_allocator allocator(4s);
    instant now { 1h };
    allocator.grant(limitedOrganisation, "a", { "osu", 1, 1 }, 3, now);
    now += 5s;
    std::map<std::string, lease_share> shares;
    for (int round = 0; round < 200; ++round) {
        const std::string entry(1, static_cast<char>('a' + round % 3));
        const auto demand = static_cast<std::uint32_t>(round * 7919 % 50);
        shares[entry] = allocator.grant(limitedOrganisation, entry, { "osu", static_cast<double>(demand), demand }, 3, now);
        now += 300ms;
        double rate = 0;
        std::uint32_t concurrency = 0;
        for (const auto& [id, share] : shares) {
            rate += share.requestsPerSecond;
            concurrency += share.concurrency;
        }
        CHECK(rate <= 30.0001);
        CHECK(concurrency <= 12);
    }
}

TEST_CASE("a new allocator grants equal shares until leases of a previous allocator have expired")
{
    const organisation limitedOrganisation { .name = "osu", .limits = { .requestsPerSecond = 30 } };
    lease_allocator allocator(4s);
    const instant now { 1h };
    CHECK(allocator.grant(limitedOrganisation, "a", { "osu", 100, 0 }, 3, now).requestsPerSecond == Approx(10));
    CHECK(allocator.grant(limitedOrganisation, "a", { "osu", 100, 0 }, 3, now + 4s).requestsPerSecond == Approx(30));
}
