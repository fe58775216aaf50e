#include "servers/sidecar/sidecar_reducer.h"

#include "tests/support/effects.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;

namespace {

struct sidecar_fixture {
    sidecar_reducer reducer;
    instant now { 1h };

    explicit sidecar_fixture(std::uint32_t slots = 1, std::uint32_t queueLimit = 8)
        : reducer({ .id = "kasa-1", .address = "tcp://s", .incarnation = 7, .service = "kasa", .slots = slots, .queueLimit = queueLimit })
    {
    }

    sidecar_effects step(const sidecar_event& event)
    {
        sidecar_effects effects;
        reducer.step(event, now, effects);
        return effects;
    }

    sidecar_effects receive(peer_message message) { return step(peer_received { std::move(message) }); }

    offer makeOffer(const std::string& id, std::uint32_t tierRank = 1) const
    {
        offer request;
        request.from = { "entry-a", "tcp://e", 3 };
        request.attempt = { id, 1 };
        request.sidecarIncarnation = 7;
        request.tierRank = tierRank;
        request.timeLeft = 60s;
        return request;
    }

    withdraw makeWithdraw(const std::string& id) const { return { { "entry-a", "tcp://e", 3 }, { id, 1 }, 7 }; }
};

template <typename Message>
std::vector<Message> sent(const sidecar_effects& effects)
{
    return kumquat_test::sent<Message, send_to_peer>(effects);
}

} // namespace

TEST_CASE("a repeated offer: the sidecar starts one run and answers each copy")
{
    sidecar_fixture fixture;
    const auto first = fixture.receive(fixture.makeOffer("r1"));
    REQUIRE(only<start_run>(first).size() == 1);
    CHECK(sent<offer_started>(first).size() == 1);
    const auto second = fixture.receive(fixture.makeOffer("r1"));
    CHECK(only<start_run>(second).empty());
    CHECK(sent<offer_started>(second).size() == 1);
}

TEST_CASE("an offer repeated after the run: the sidecar sends the chunks again from the one that the entry expects next")
{
    sidecar_fixture fixture;
    const auto run = only<start_run>(fixture.receive(fixture.makeOffer("r1"))).at(0).run;
    fixture.step(run_output { run, "a", 1 });
    fixture.step(run_output { run, "b", 1 });
    fixture.step(run_finished { .run = run, .finishReason = "stop" });
    auto repeatedOffer = fixture.makeOffer("r1");
    repeatedOffer.nextChunk = 1;
    const auto repeatedAnswer = fixture.receive(repeatedOffer);
    REQUIRE(sent<output_chunk>(repeatedAnswer).size() == 1);
    CHECK(sent<output_chunk>(repeatedAnswer).at(0).text == "b");
    CHECK(sent<offer_finished>(repeatedAnswer).at(0).chunkCount == 2);
}

TEST_CASE("an offer that arrives after its withdrawal: the sidecar does not run it")
{
    sidecar_fixture fixture;
    const auto withdrawn = sent<offer_withdrawn>(fixture.receive(fixture.makeWithdraw("r1")));
    REQUIRE(withdrawn.size() == 1);
    CHECK_FALSE(withdrawn.at(0).started);
    const auto lateOfferEffects = fixture.receive(fixture.makeOffer("r1"));
    CHECK(only<start_run>(lateOfferEffects).empty());
    CHECK(sent<offer_withdrawn>(lateOfferEffects).size() == 1);
}

TEST_CASE("a withdrawal of a running attempt: the sidecar cancels the run and answers that it had started")
{
    sidecar_fixture fixture;
    fixture.receive(fixture.makeOffer("r1"));
    const auto effects = fixture.receive(fixture.makeWithdraw("r1"));
    CHECK(only<cancel_run>(effects).size() == 1);
    CHECK(sent<offer_withdrawn>(effects).at(0).started);
}

TEST_CASE("an offer to a previous incarnation of the sidecar: it is not run and answered with wrong_incarnation")
{
    sidecar_fixture fixture;
    auto request = fixture.makeOffer("r1");
    request.sidecarIncarnation = 6;
    const auto effects = fixture.receive(request);
    CHECK(only<start_run>(effects).empty());
    CHECK(sent<wrong_incarnation>(effects).size() == 1);
}

TEST_CASE("a full queue: a higher arrival displaces a lower attempt, a lower arrival is refused")
{
    sidecar_fixture fixture(1, 1);
    fixture.receive(fixture.makeOffer("running"));
    fixture.receive(fixture.makeOffer("low", 2));
    const auto higher = fixture.receive(fixture.makeOffer("high", 0));
    const auto displaced = sent<offer_refused>(higher);
    REQUIRE(displaced.size() == 1);
    CHECK(displaced.at(0).header.attempt.requestId == "low");
    const auto lower = sent<offer_refused>(fixture.receive(fixture.makeOffer("low2", 2)));
    REQUIRE(lower.size() == 1);
    CHECK(lower.at(0).header.attempt.requestId == "low2");
}

TEST_CASE("a repeated offer of a refused attempt: the sidecar refuses it again")
{
    sidecar_fixture fixture(1, 0);
    const auto run = only<start_run>(fixture.receive(fixture.makeOffer("r1")));
    // A queue of capacity 0 refuses even an offer that finds a free slot, since every attempt passes through the queue.
    CHECK(run.empty());
    const auto repeatEffects = fixture.receive(fixture.makeOffer("r1"));
    CHECK(only<start_run>(repeatEffects).empty());
    CHECK(sent<offer_refused>(repeatEffects).size() == 1);
}

TEST_CASE("a queued attempt whose deadline has passed: the sidecar refuses it with a timeout")
{
    sidecar_fixture fixture;
    fixture.receive(fixture.makeOffer("running"));
    fixture.receive(fixture.makeOffer("waiting"));
    // Without this message the entry would time out, and its work would be cancelled before the deadline.
    fixture.now += 55s;
    fixture.receive(subscribe { { "entry-a", "tcp://e", 3 }, 1 });
    fixture.now += 6s;
    const auto refused = sent<offer_refused>(fixture.step(timer_due {}));
    REQUIRE(refused.size() == 1);
    CHECK(refused.at(0).reason == error_code::timeout);
}

TEST_CASE("a draining sidecar refuses waiting and new attempts, finishes running ones, and stops")
{
    sidecar_fixture fixture;
    const auto run = only<start_run>(fixture.receive(fixture.makeOffer("running"))).at(0).run;
    fixture.receive(fixture.makeOffer("waiting"));
    const auto drained = fixture.step(drain_requested {});
    CHECK(sent<offer_refused>(drained).at(0).header.attempt.requestId == "waiting");
    CHECK(only<stop_process>(drained).empty());
    CHECK(sent<offer_refused>(fixture.receive(fixture.makeOffer("new"))).size() == 1);
    const auto finished = fixture.step(run_finished { .run = run });
    CHECK(sent<offer_finished>(finished).size() == 1);
    CHECK(only<stop_process>(finished).size() == 1);
}

TEST_CASE("an entry that times out: the sidecar cancels its repeatable run and continues the one that must not be repeated")
{
    sidecar_fixture fixture(2);
    fixture.receive(subscribe { { "entry-a", "tcp://e", 3 }, 1 });
    fixture.receive(fixture.makeOffer("repeatable"));
    auto unrepeatable = fixture.makeOffer("once");
    unrepeatable.repeatable = false;
    fixture.receive(unrepeatable);
    fixture.now += 11s;
    const auto effects = fixture.step(timer_due {});
    CHECK(only<cancel_run>(effects).size() == 1);
    CHECK(fixture.reducer.runningCount() == 1);
}

TEST_CASE("a finished attempt that must not be repeated: its answer stays available to claim queries, whether its entry acknowledges, withdraws or fails")
{
    sidecar_fixture fixture;
    auto request = fixture.makeOffer("r1");
    request.repeatable = false;
    const auto run = only<start_run>(fixture.receive(request)).at(0).run;
    const claim_query query { { "entry-b", "tcp://b", 4 }, "r1" };
    const auto statusDuringRun = sent<claim_status>(fixture.receive(query));
    REQUIRE(statusDuringRun.size() == 1);
    CHECK(statusDuringRun[0].state == claim_state::in_progress);
    fixture.step(run_output { run, "{}", 0 });
    fixture.step(run_finished { run });
    fixture.now += 60s;
    fixture.step(timer_due {});
    const int entryAction = GENERATE(0, 1, 2);
    if (entryAction == 1)
        fixture.receive(acknowledge { request.attempt, 7 });
    if (entryAction == 2)
        fixture.receive(fixture.makeWithdraw("r1"));
    const auto statusAfterRun = sent<claim_status>(fixture.receive(query));
    REQUIRE(statusAfterRun.size() == 1);
    CHECK(statusAfterRun[0].state == claim_state::finished);
    CHECK(statusAfterRun[0].answer.text == "{}");
    CHECK(sent<claim_status>(fixture.receive(claim_query { query.from, "r2" })).empty());
}

TEST_CASE("subscribers with different intervals: each gets reports at its own interval, and all get one after a large change of load")
{
    sidecar_fixture fixture(8);
    const auto subscribeAs = [&](const std::string& id, std::chrono::milliseconds interval) {
        fixture.receive(subscribe { .from = { id, "tcp://" + id, 3 }, .reportInterval = interval });
    };
    std::map<std::string, int> reports;
    const auto count = [&](const sidecar_effects& effects) {
        for (const auto& message : only<send_to_peer>(effects)) {
            if (std::holds_alternative<report>(message.message))
                reports[message.address]++;
        }
    };
    subscribeAs("eager", 0ms);
    subscribeAs("frugal", 4s);
    for (int second = 0; second < 12; ++second) {
        fixture.now += 1s;
        subscribeAs("eager", 0ms);
        subscribeAs("frugal", 4s);
        count(fixture.step(timer_due {}));
    }
    CHECK(reports["tcp://eager"] == 12);
    CHECK(reports["tcp://frugal"] == 3);
    reports.clear();
    for (const char* id : { "r1", "r2", "r3", "r4", "r5" })
        count(fixture.receive(fixture.makeOffer(id)));
    CHECK(reports["tcp://frugal"] == 1);
}
