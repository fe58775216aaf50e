#include "tests/support/entry_fixture.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::entry_fixture;
using kumquat_test::headerFor;
using kumquat_test::offersIn;
using kumquat_test::only;
using kumquat_test::textOf;

TEST_CASE("entry delivers reordered and repeated chunks in order and once")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest());
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

TEST_CASE("entry tries another upstream after a refusal and reports that the request did not run when none is left")
{
    entry_fixture fixture;
    const auto first = fixture.sendRequest();
    const auto second = fixture.receive(offer_refused { .header = headerFor(first), .retryAfter = 3s });
    REQUIRE(offersIn(second).size() == 1);
    CHECK(only<send_to_sidecar>(second).at(0).address != only<send_to_sidecar>(first).at(0).address);
    const auto last = only<fail_answer>(fixture.receive(offer_refused { .header = headerFor(second), .retryAfter = 3s }));
    REQUIRE(last.size() == 1);
    CHECK(last.at(0).error.code == error_code::overloaded);
    CHECK(last.at(0).error.ran == ran_state::no);
    CHECK(last.at(0).error.retryAfter == 3s);
}

TEST_CASE("entry ignores chunks of an earlier attempt")
{
    entry_fixture fixture;
    const auto earlierHeader = headerFor(fixture.sendRequest());
    const auto currentHeader = headerFor(fixture.receive(offer_refused { .header = earlierHeader }));
    CHECK(textOf(fixture.receive(output_chunk { earlierHeader, 0, 1, "stale" })).empty());
    CHECK(textOf(fixture.receive(output_chunk { currentHeader, 0, 1, "fresh" })) == "fresh");
}

TEST_CASE("entry retries a failed request only if its class is repeatable")
{
    entry_fixture fixture;
    const auto repeatable = fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()), .started = true });
    CHECK(only<fail_answer>(repeatable).empty());
    // The retry follows after a back-off of at most the first ceiling, 50 ms.
    CHECK(offersIn(fixture.advance(50ms)).size() == 1);
    const auto unrepeatable = fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest("/services/dwumadie/passes")), .started = true });
    CHECK(offersIn(unrepeatable).empty());
    REQUIRE(only<fail_answer>(unrepeatable).size() == 1);
    CHECK(only<fail_answer>(unrepeatable).at(0).error.ran == ran_state::unknown);
}

TEST_CASE("entry reports an unknown outcome when the sidecar of an offered attempt was replaced")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest("/services/dwumadie/passes"));
    const auto failed = only<fail_answer>(fixture.receive(wrong_incarnation { header, header.sidecarIncarnation }));
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.ran == ran_state::unknown);
}

TEST_CASE("entry resends an unanswered offer under the same attempt id")
{
    entry_fixture fixture;
    const auto first = fixture.sendRequest();
    fixture.now += 500ms;
    const auto resentOffers = offersIn(fixture.step(entry_timer_due {}));
    REQUIRE(resentOffers.size() == 1);
    CHECK(resentOffers.at(0).attempt == offersIn(first).at(0).attempt);
}

TEST_CASE("entry withdraws the attempt of a caller that disconnected")
{
    entry_fixture fixture;
    fixture.sendRequest();
    const auto effects = fixture.step(caller_disconnected { 1 });
    CHECK(kumquat_test::sent<withdraw, send_to_sidecar>(effects).size() == 1);
    CHECK(fixture.reducer.requests().empty());
}

TEST_CASE("entry offers nothing to an upstream that is reported leaving, listed leaving or no longer reporting")
{
    entry_fixture fixture(1);
    SECTION("reported leaving") { fixture.reportFrom("kasa-1", "kasa", true); }
    SECTION("listed leaving") { fixture.step(instances_listed { { { .id = "kasa-1", .role = "sidecar", .service = "kasa", .leaving = true } } }); }
    SECTION("silent") { fixture.now += 4s; }
    const auto effects = fixture.sendRequest();
    CHECK(offersIn(effects).empty());
    CHECK(only<fail_answer>(effects).at(0).error.code == error_code::no_upstream);
}

TEST_CASE("entry ignores a document of a smaller generation")
{
    entry_fixture fixture;
    fixture.step(entry_document_received { kumquat_test::sampleDocument(5) });
    fixture.step(entry_document_received { kumquat_test::sampleDocument(4) });
    CHECK(fixture.reducer.generation() == 5);
}

TEST_CASE("draining entry finishes its requests before it stops")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest());
    fixture.step(entry_drain_requested {});
    fixture.now += 2s;
    const auto listening = fixture.step(entry_timer_due {});
    CHECK(only<stop_listening>(listening).size() == 1);
    CHECK(only<stop_entry>(listening).empty());
    CHECK(only<stop_entry>(fixture.receive(offer_finished { .header = header, .chunkCount = 0 })).size() == 1);
}

TEST_CASE("an entry that stops at its drain limit answers the requests in progress, with what it knows of them")
{
    entry_fixture fixture(0);
    const auto waiting = fixture.sendRequest("/services/dwumadie/passes");
    REQUIRE(offersIn(waiting).size() == 1);
    fixture.step(entry_drain_requested {});
    fixture.now += std::chrono::milliseconds(600000);
    const auto effects = fixture.step(entry_timer_due {});
    const auto failures = only<fail_answer>(effects);
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().error.ran == ran_state::unknown);
    CHECK(only<stop_entry>(effects).size() == 1);
    CHECK(fixture.reducer.requests().empty());
}

TEST_CASE("entry dispatches a request that is not repeatable and has a key only after its claim is granted")
{
    entry_fixture fixture;
    const auto arrived = fixture.sendRequestWithKey("/services/dwumadie/passes", "k1");
    CHECK(offersIn(arrived).empty());
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(arrived).at(0));
    const auto listed = fixture.step(entry_claim_event { claim_segments_listed { list.shard, std::vector<numbered_segment> {} } });
    CHECK(offersIn(listed).empty());
    const auto write = std::get<write_claim_segment>(only<claim_store_call>(listed).at(0));
    const auto granted = fixture.step(entry_claim_event { claim_segment_written { write.shard, write.number, claim_write_outcome::written, 1 } });
    REQUIRE(offersIn(granted).size() == 1);
    // The answer is stored for later requests with the same key, so the attempt continues when the caller disconnects.
    CHECK(only<send_to_sidecar>(fixture.step(caller_disconnected { 1 })).empty());
    const auto header = headerFor(granted);
    fixture.receive(output_chunk { header, 0, 0, "ok" });
    fixture.now += 1s;
    const auto finished = fixture.receive(offer_finished { .header = header, .chunkCount = 1 });
    const auto outcome = std::get<write_claim_segment>(only<claim_store_call>(finished).at(0));
    CHECK(std::get<claim_finished>(outcome.contents.records.at(0)).answer.text == "ok");
    const auto repeated = fixture.sendRequestWithKey("/services/dwumadie/passes", "k1");
    CHECK(offersIn(repeated).empty());
    CHECK(textOf(repeated) == "ok");
}

TEST_CASE("entry refuses a request that is not repeatable and has a key when the object API is down")
{
    entry_fixture fixture;
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(fixture.sendRequestWithKey("/services/dwumadie/passes", "k1")).at(0));
    const auto refused = fixture.step(entry_claim_event { claim_segments_listed { list.shard, error { "down" } } });
    REQUIRE(only<fail_answer>(refused).size() == 1);
    CHECK(only<fail_answer>(refused)[0].error.code == error_code::claim_unavailable);
    CHECK(only<fail_answer>(refused)[0].error.ran == ran_state::no);
    // A request without a key needs no claim.
    CHECK(offersIn(fixture.sendRequest("/services/dwumadie/passes")).size() == 1);
}

TEST_CASE("entry that abandons an unresponsive sidecar does not withdraw a claimed attempt and reports an unknown outcome")
{
    entry_fixture fixture;
    const auto list = std::get<list_claim_segments>(only<claim_store_call>(fixture.sendRequestWithKey("/services/dwumadie/passes", "k1")).at(0));
    fixture.step(entry_claim_event { claim_segments_listed { list.shard, std::vector<numbered_segment> {} } });
    const auto granted = fixture.step(entry_claim_event { claim_segment_written { list.shard, 1, claim_write_outcome::written, 1 } });
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
    // A later request with the same key queries the sidecars, since this entry does not know the outcome.
    const auto repeated = fixture.sendRequestWithKey("/services/dwumadie/passes", "k1");
    CHECK(kumquat_test::sent<claim_query, send_to_sidecar>(repeated).size() == 1);
    const auto answered = fixture.receive(claim_status { headerFor(granted).attempt.requestId, claim_state::finished, { .text = "ok" } });
    CHECK(textOf(answered) == "ok");
}
