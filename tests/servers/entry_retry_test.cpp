#include "tests/support/entry_fixture.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::entry_fixture;
using kumquat_test::headerFor;
using kumquat_test::offersIn;
using kumquat_test::only;
using kumquat_test::textOf;

namespace {

entry_effects breakAfter(entry_fixture& fixture, const std::string& text, const answer_header& header)
{
    fixture.receive(output_chunk { header, 0, 3, text });
    return fixture.receive(offer_failed { .header = header, .message = "connection broke" });
}

} // namespace

TEST_CASE("a broken stream is resumed after the delivered text without missing or duplicate tokens")
{
    entry_fixture fixture;
    const auto first = headerFor(fixture.sendRequest());
    CHECK(only<fail_answer>(breakAfter(fixture, "one two three ", first)).empty());
    const auto resumed = fixture.advance(50ms);
    REQUIRE(offersIn(resumed).size() == 1);
    CHECK(offersIn(resumed).at(0).deliveredPrefix == "one two three ");
    CHECK(offersIn(resumed).at(0).deliveredTokens == 3);
    CHECK(offersIn(resumed).at(0).expectedTokens == 97);
    const auto second = headerFor(resumed);
    CHECK(textOf(fixture.receive(output_chunk { first, 1, 1, "stale " })).empty());
    CHECK(textOf(fixture.receive(output_chunk { second, 0, 1, "four" })) == "four");
    const auto last = only<finish_answer>(fixture.receive(offer_finished { .header = second, .chunkCount = 1, .promptTokens = 13 }));
    REQUIRE(last.size() == 1);
    CHECK(last.at(0).outputTokens == 4);
    CHECK(last.at(0).promptTokens == 10);
}

TEST_CASE("copies of the offer of a resumed attempt never contain its own chunks as prefix")
{
    entry_fixture fixture;
    breakAfter(fixture, "one ", headerFor(fixture.sendRequest()));
    const auto resumed = fixture.advance(50ms);
    const auto unanswered = offersIn(fixture.advance(500ms));
    REQUIRE_FALSE(unanswered.empty());
    CHECK(unanswered.at(0).deliveredPrefix == "one ");
    fixture.receive(output_chunk { headerFor(resumed), 0, 1, "two " });
    const auto answered = offersIn(fixture.advance(500ms));
    REQUIRE_FALSE(answered.empty());
    CHECK(answered.at(0).deliveredPrefix.empty());
    CHECK(answered.at(0).deliveredTokens == 3);
}

TEST_CASE("a broken stream that cannot be resumed ends with an error")
{
    entry_fixture fixture;
    auto request = entry_fixture::request("/v1/completions");
    valueOf(request.completion).resumable = false;
    const auto header = headerFor(fixture.step(caller_arrived { 9, request }));
    const auto failed = only<fail_answer>(breakAfter(fixture, "one ", header));
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.ran == ran_state::unknown);
}

TEST_CASE("a broken buffered answer that cannot be resumed is generated again from the start")
{
    entry_fixture fixture;
    auto request = entry_fixture::request("/v1/completions");
    request.format = answer_format::completion_json;
    valueOf(request.completion).resumable = false;
    const auto header = headerFor(fixture.step(caller_arrived { 9, request }));
    breakAfter(fixture, "one ", header);
    const auto retryEffects = fixture.advance(50ms);
    CHECK(offersIn(retryEffects).at(0).deliveredPrefix.empty());
    fixture.receive(output_chunk { headerFor(retryEffects), 0, 1, "whole" });
    CHECK(textOf(fixture.receive(offer_finished { .header = headerFor(retryEffects), .chunkCount = 1 })) == "whole");
}

TEST_CASE("a stream that breaks after the last token of the caller's limit is complete")
{
    entry_fixture fixture;
    auto request = entry_fixture::request("/v1/chat/completions");
    valueOf(request.completion).maximumTokens = 3;
    const auto header = headerFor(fixture.step(caller_arrived { 9, request }));
    const auto ended = breakAfter(fixture, "one two three ", header);
    REQUIRE(only<finish_answer>(ended).size() == 1);
    CHECK(only<finish_answer>(ended).at(0).finishReason == "length");
}

TEST_CASE("failures are not retried while the service's retry budget is used up")
{
    entry_options options;
    options.retryBudget = { .retriesPerSuccess = 0.5, .baseRetriesPerSecond = 0, .maxBalance = 1 };
    entry_fixture fixture(4, options);
    CHECK(only<fail_answer>(fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()) })).empty());
    CHECK(only<fail_answer>(fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()) })).size() == 1);
    for (int success = 0; success < 2; ++success)
        fixture.receive(offer_finished { .header = headerFor(fixture.sendRequest()) });
    CHECK(only<fail_answer>(fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()) })).empty());
    CHECK(only<fail_answer>(fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()) })).size() == 1);
}

TEST_CASE("the back-off is drawn from the whole range below a ceiling that doubles up to its maximum")
{
    retry_backoff backoff({ .initialBackoff = 100ms, .maxBackoff = 400ms }, 1);
    std::chrono::milliseconds shortest { 1h };
    std::chrono::milliseconds longest { 0 };
    for (int draw = 0; draw < 1000; ++draw) {
        CHECK(backoff.draw(1) <= 100ms);
        shortest = std::min(shortest, backoff.draw(9));
        longest = std::max(longest, backoff.draw(9));
    }
    CHECK(shortest < 20ms);
    CHECK(longest > 380ms);
    CHECK(longest <= 400ms);
}

TEST_CASE("a refused request that can displace no other fails at once with the shortest retry time of the refusals")
{
    entry_fixture fixture(6);
    for (int index = 1; index <= 6; ++index)
        fixture.reportLoad("kasa-" + std::to_string(index), { { .rank = 1, .running = 4, .queued = 9, .expectedTokens = 1300 } });
    const auto second = fixture.receive(offer_refused { .header = headerFor(fixture.sendRequest()), .retryAfter = 3s });
    const auto failed = only<fail_answer>(fixture.receive(offer_refused { .header = headerFor(second), .retryAfter = 5s }));
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.retryAfter == 3s);
    CHECK(failed.at(0).error.ran == ran_state::no);
}

TEST_CASE("a refused request is offered to every upstream with queued work of a lower tier")
{
    entry_fixture fixture(6);
    for (int index = 1; index <= 6; ++index)
        fixture.reportLoad("kasa-" + std::to_string(index), { { .rank = 1, .running = 4, .expectedTokens = 300 }, { .rank = 2, .queued = 9, .expectedTokens = 1300 } });
    auto effects = fixture.sendRequest();
    for (int refusal = 0; refusal < 5; ++refusal) {
        effects = fixture.receive(offer_refused { .header = headerFor(effects), .retryAfter = 3s });
        REQUIRE(offersIn(effects).size() == 1);
    }
    CHECK(only<fail_answer>(fixture.receive(offer_refused { .header = headerFor(effects) })).size() == 1);
}

TEST_CASE("a withdrawal is sent again until its sidecar answers")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest());
    fixture.step(caller_disconnected { 1 });
    const auto resent = [&] { return kumquat_test::sent<withdraw, send_to_sidecar>(fixture.advance(500ms)).size(); };
    CHECK(resent() == 1);
    fixture.receive(offer_withdrawn { .header = header, .started = true });
    CHECK(resent() == 0);
}

TEST_CASE("a request that must not run twice waits for the answer to its withdrawal before its outcome counts as unknown")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest("/services/dwumadie/passes"));
    const auto unanswered = fixture.advance(3s);
    CHECK(kumquat_test::sent<withdraw, send_to_sidecar>(unanswered).size() == 1);
    CHECK(only<fail_answer>(unanswered).empty());
    SECTION("withdrawn before it ran")
    {
        const auto failed = only<fail_answer>(fixture.receive(offer_withdrawn { .header = header, .started = false }));
        REQUIRE(failed.size() == 1);
        CHECK(failed.at(0).error.ran == ran_state::no);
    }
    SECTION("finished in spite of the withdrawal")
    {
        CHECK(only<finish_answer>(fixture.receive(offer_finished { .header = header, .chunkCount = 0 })).size() == 1);
    }
    SECTION("no answer")
    {
        const auto failed = only<fail_answer>(fixture.advance(1s));
        REQUIRE(failed.size() == 1);
        CHECK(failed.at(0).error.ran == ran_state::unknown);
    }
}

TEST_CASE("no copy of an offer is sent while chunks arrive, and a copy of an answered offer has no body")
{
    entry_fixture fixture;
    const auto header = headerFor(fixture.sendRequest("/v1/chat/completions", "a long prompt"));
    for (std::uint32_t sequence = 0; sequence < 10; ++sequence) {
        fixture.receive(output_chunk { header, sequence, 1, "x" });
        CHECK(offersIn(fixture.advance(100ms)).empty());
    }
    const auto copies = offersIn(fixture.advance(500ms));
    REQUIRE(copies.size() == 1);
    CHECK(copies.at(0).job.body.empty());
    CHECK(copies.at(0).nextChunk == 10);
}

TEST_CASE("an upstream that leaves offers unanswered receives no new requests until it sends a message")
{
    entry_options options;
    options.policy = round_robin_routing {};
    entry_fixture fixture(2, options);
    const auto unanswered = fixture.sendRequest();
    const auto addressOf = [](const entry_effects& effects) { return only<send_to_sidecar>(effects).at(0).address; };
    fixture.advance(1s);
    for (int request = 0; request < 4; ++request)
        CHECK(addressOf(fixture.sendRequest()) != addressOf(unanswered));
    fixture.receive(offer_queued { headerFor(unanswered) });
    CHECK(addressOf(fixture.sendRequest()) == addressOf(unanswered));
}
