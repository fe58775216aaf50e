#include "servers/entry/entry_reducer.h"

#include "tests/support/effects.h"
#include "tests/support/sample_document.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;

namespace {

struct entry_fixture {
    entry_reducer reducer { { .id = "entry-a", .address = "tcp://e", .incarnation = 3 } };
    instant now { 1h };
    channel_id nextChannel = 1;

    explicit entry_fixture(int upstreams = 2)
    {
        step(entry_document_received { kumquat_test::sampleDocument() });
        std::vector<instance> listed;
        for (int index = 1; index <= upstreams; ++index) {
            const auto number = std::to_string(index);
            listed.push_back({ .id = "kasa-" + number, .role = "sidecar", .service = "kasa", .address = "tcp://kasa-" + number });
        }
        listed.push_back({ .id = "dwumadie-1", .role = "sidecar", .service = "dwumadie", .address = "tcp://dwumadie-1" });
        step(instances_listed { listed });
        for (const auto& item : listed)
            reportFrom(item.id, item.service);
    }

    void reportFrom(const std::string& id, const std::string& service, bool leaving = false)
    {
        report message;
        message.from = { id, "tcp://" + id, 70 };
        message.service = service;
        message.leaving = leaving;
        message.slots = message.freeSlots = 4;
        receive(message);
    }

    entry_effects step(const entry_event& event)
    {
        entry_effects effects;
        reducer.step(event, now, effects);
        return effects;
    }

    entry_effects receive(peer_message message) { return step(entry_peer_received { std::move(message) }); }

    entry_effects ask(const std::string& path = "/v1/chat/completions", const std::string& key = "")
    {
        caller_request request;
        request.method = "POST";
        request.path = path;
        request.keyDigest = "key-osu";
        request.body = "{}";
        request.idempotencyKey = key;
        request.completion = completion_summary { .model = "kasa-8b", .streaming = true };
        request.format = path.starts_with("/v1/") ? answer_format::chat_stream : answer_format::raw;
        return step(caller_arrived { nextChannel++, request });
    }
};

std::vector<offer> offersIn(const entry_effects& effects)
{
    return kumquat_test::sent<offer, send_to_sidecar>(effects);
}

// The answer header of the sidecar that an offer went to.
answer_header headerFor(const entry_effects& effects)
{
    const auto send = only<send_to_sidecar>(effects).at(0);
    const auto& request = std::get<offer>(send.message);
    return { request.attempt, send.address.substr(6), request.sidecarIncarnation };
}

std::string textOf(const entry_effects& effects)
{
    std::string text;
    for (const auto& piece : only<append_answer>(effects))
        text += piece.text;
    return text;
}

} // namespace

TEST_CASE("entry delivers chunks in order and once")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.ask());
    CHECK(textOf(fixture.receive(output_chunk { header, 1, 1, "b" })).empty());
    CHECK(textOf(fixture.receive(output_chunk { header, 0, 1, "a" })) == "ab");
    CHECK(textOf(fixture.receive(output_chunk { header, 0, 1, "a" })).empty());
    CHECK(only<finish_answer>(fixture.receive(offer_finished { .header = header, .chunkCount = 3 })).empty());
    const auto last = fixture.receive(output_chunk { header, 2, 1, "c" });
    CHECK(textOf(last) == "c");
    CHECK(only<finish_answer>(last).size() == 1);
    CHECK(kumquat_test::sent<acknowledge, send_to_sidecar>(last).size() == 1);
    CHECK(fixture.reducer.requests().empty());
}

TEST_CASE("entry tries another upstream after a refusal and tells the truth when none is left")
{
    entry_fixture fixture;
    const auto first = fixture.ask();
    const auto second = fixture.receive(offer_refused { .header = headerFor(first), .retryAfter = 3s });
    REQUIRE(offersIn(second).size() == 1);
    CHECK(only<send_to_sidecar>(second).at(0).address != only<send_to_sidecar>(first).at(0).address);
    const auto last = only<fail_answer>(fixture.receive(offer_refused { .header = headerFor(second), .retryAfter = 3s }));
    REQUIRE(last.size() == 1);
    CHECK(last.at(0).error.code == error_code::overloaded);
    CHECK(last.at(0).error.ran == ran_state::no);
    CHECK(last.at(0).error.retryAfter == 3s);
}

TEST_CASE("entry drops answers of an old attempt")
{
    entry_fixture fixture;
    const auto old = headerFor(fixture.ask());
    const auto current = headerFor(fixture.receive(offer_refused { .header = old }));
    CHECK(textOf(fixture.receive(output_chunk { old, 0, 1, "stale" })).empty());
    CHECK(textOf(fixture.receive(output_chunk { current, 0, 1, "fresh" })) == "fresh");
}

TEST_CASE("entry repeats only what may be repeated")
{
    entry_fixture fixture;
    const auto repeatable = fixture.receive(offer_failed { .header = headerFor(fixture.ask()), .started = true });
    CHECK(offersIn(repeatable).size() == 1);
    const auto once = fixture.receive(offer_failed { .header = headerFor(fixture.ask("/services/dwumadie/passes")), .started = true });
    CHECK(offersIn(once).empty());
    REQUIRE(only<fail_answer>(once).size() == 1);
    CHECK(only<fail_answer>(once).at(0).error.ran == ran_state::unknown);
}

TEST_CASE("entry does not claim that an attempt did not run when its sidecar was replaced")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.ask("/services/dwumadie/passes"));
    const auto failed = only<fail_answer>(fixture.receive(wrong_incarnation { header, header.sidecarIncarnation }));
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.ran == ran_state::unknown);
}

TEST_CASE("entry resends an unanswered offer under the same attempt id")
{
    entry_fixture fixture;
    const auto first = fixture.ask();
    fixture.now += 500ms;
    const auto again = offersIn(fixture.step(entry_timer_due {}));
    REQUIRE(again.size() == 1);
    CHECK(again.at(0).attempt == offersIn(first).at(0).attempt);
}

TEST_CASE("entry withdraws the work of a caller that left")
{
    entry_fixture fixture;
    fixture.ask();
    const auto effects = fixture.step(caller_gone { 1 });
    CHECK(kumquat_test::sent<withdraw, send_to_sidecar>(effects).size() == 1);
    CHECK(fixture.reducer.requests().empty());
}

TEST_CASE("entry sends nothing to an upstream that either source calls leaving or that fell silent")
{
    entry_fixture fixture(1);
    SECTION("reported leaving") { fixture.reportFrom("kasa-1", "kasa", true); }
    SECTION("listed leaving") { fixture.step(instances_listed { { { .id = "kasa-1", .role = "sidecar", .service = "kasa", .leaving = true } } }); }
    SECTION("silent") { fixture.now += 4s; }
    const auto effects = fixture.ask();
    CHECK(offersIn(effects).empty());
    CHECK(only<fail_answer>(effects).at(0).error.code == error_code::no_upstream);
}

TEST_CASE("entry never returns to a smaller generation")
{
    entry_fixture fixture;
    fixture.step(entry_document_received { kumquat_test::sampleDocument(5) });
    fixture.step(entry_document_received { kumquat_test::sampleDocument(4) });
    CHECK(fixture.reducer.generation() == 5);
}

TEST_CASE("draining entry finishes its requests before it stops")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.ask());
    fixture.step(entry_drain_requested {});
    fixture.now += 2s;
    const auto listening = fixture.step(entry_timer_due {});
    CHECK(only<stop_listening>(listening).size() == 1);
    CHECK(only<stop_entry>(listening).empty());
    CHECK(only<stop_entry>(fixture.receive(offer_finished { .header = header, .chunkCount = 0 })).size() == 1);
}

TEST_CASE("entry dispatches a not-repeatable request with a key only when its claim is granted")
{
    entry_fixture fixture;
    const auto arrived = fixture.ask("/services/dwumadie/passes", "k1");
    CHECK(offersIn(arrived).empty());
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(arrived).at(0));
    const auto listed = fixture.step(entry_claim_answered { claim_segments_listed { list.shard, std::vector<numbered_segment> {} } });
    CHECK(offersIn(listed).empty());
    const auto write = std::get<write_claim_segment>(only<claim_store_call>(listed).at(0));
    const auto granted = fixture.step(entry_claim_answered { claim_segment_written { write.shard, write.number, claim_write_outcome::written, 1 } });
    REQUIRE(offersIn(granted).size() == 1);
    // The answer is wanted for repeats, so a caller that leaves does not end the run.
    CHECK(only<send_to_sidecar>(fixture.step(caller_gone { 1 })).empty());
    const auto header = headerFor(granted);
    fixture.receive(output_chunk { header, 0, 0, "ok" });
    fixture.now += 1s;
    const auto finished = fixture.receive(offer_finished { .header = header, .chunkCount = 1 });
    const auto outcome = std::get<write_claim_segment>(only<claim_store_call>(finished).at(0));
    CHECK(std::get<claim_finished>(outcome.contents.records.at(0)).answer.text == "ok");
    const auto repeated = fixture.ask("/services/dwumadie/passes", "k1");
    CHECK(offersIn(repeated).empty());
    CHECK(textOf(repeated) == "ok");
}

TEST_CASE("entry refuses a not-repeatable request with a key when the object API is down")
{
    entry_fixture fixture;
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(fixture.ask("/services/dwumadie/passes", "k1")).at(0));
    const auto refused = fixture.step(entry_claim_answered { claim_segments_listed { list.shard, error { "down" } } });
    REQUIRE(only<fail_answer>(refused).size() == 1);
    CHECK(only<fail_answer>(refused)[0].error.code == error_code::claim_unavailable);
    CHECK(only<fail_answer>(refused)[0].error.ran == ran_state::no);
    // A request without a key needs no claim.
    CHECK(offersIn(fixture.ask("/services/dwumadie/passes")).size() == 1);
}

TEST_CASE("entry that gives up a silent sidecar leaves claimed work running there and tells that the outcome is unknown")
{
    entry_fixture fixture;
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(fixture.ask("/services/dwumadie/passes", "k1")).at(0));
    fixture.step(entry_claim_answered { claim_segments_listed { list.shard, std::vector<numbered_segment> {} } });
    const auto granted = fixture.step(entry_claim_answered { claim_segment_written { list.shard, 1, claim_write_outcome::written, 1 } });
    REQUIRE(offersIn(granted).size() == 1);
    std::vector<fail_answer> failures;
    for (int resend = 0; resend < 20 && failures.empty(); ++resend) {
        fixture.now += 500ms;
        const auto effects = fixture.step(entry_timer_due {});
        failures = only<fail_answer>(effects);
        CHECK(kumquat_test::sent<withdraw, send_to_sidecar>(effects).empty());
    }
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.ran == ran_state::unknown);
    // The repeat asks the sidecars, since this entry does not know the outcome.
    const auto repeated = fixture.ask("/services/dwumadie/passes", "k1");
    CHECK(kumquat_test::sent<claim_query, send_to_sidecar>(repeated).size() == 1);
    const auto answered = fixture.receive(claim_status { headerFor(granted).attempt.requestId, claim_state::finished, { .text = "ok" } });
    CHECK(textOf(answered) == "ok");
}
