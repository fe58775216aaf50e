#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

// A confirmation of the configuration by another router, so that keys stay valid while time passes.
router_digest confirmation(std::uint64_t sequence)
{
    router_digest digest;
    digest.dataCentre = "dc-a";
    digest.instance = "entry-2";
    digest.sequence = sequence;
    digest.configPosition.revision = 5;
    digest.configVersion = 1;
    digest.configAge = milliseconds(0);
    return digest;
}

// Starts the same request again, breaks its connection, and lets another request find the upstream unreachable. Returns
// false if the router started no attempt.
bool crashOnce(router_fixture& fixture, caller_id caller)
{
    fixture.request(caller, "/oneshot/x");
    const auto attempts = fixture.all<start_attempt>();
    if (attempts.empty())
        return false;
    fixture.step(attempt_aborted { attempts[0].attemptNumber, true, "reset" });
    // The connection of another request to the same upstream fails.
    fixture.request(caller + 100, "/stream/x");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, false, "refused", connection_outcome::refused });
    fixture.advance(seconds(2));
    fixture.step(digest_received { "10.0.0.2", confirmation(caller) });
    return true;
}

} // namespace

TEST_CASE("a request that has crashed three upstreams is refused with 503, another request is not", "[router]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("llm-1", "llm", 1001) }, 5);
    CHECK(crashOnce(fixture, 1));
    CHECK(crashOnce(fixture, 2));
    CHECK(crashOnce(fixture, 3));
    fixture.request(4, "/oneshot/x");
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.replyStatus() == 503);
    fixture.request(5, "/oneshot/other");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("an upstream whose answers break off and which refuses a connection check has crashed", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/oneshot/x");
    const auto attempt = fixture.only<start_attempt>();
    fixture.step(attempt_aborted { attempt.attemptNumber, true, "End of file" });
    const auto check = fixture.only<check_connection>();
    CHECK(formatEndpoint(check.target) == formatEndpoint(attempt.target));
    fixture.step(connection_checked { check.check, connection_outcome::refused });
    CHECK(fixture.hasLog("upstream_crashed"));
    for (caller_id caller = 2; caller < 12; ++caller) {
        fixture.request(caller, "/oneshot/x");
        CHECK(fixture.only<start_attempt>().upstreamId != attempt.upstreamId);
    }
}

TEST_CASE("an upstream that accepts a connection check, or does not answer it, has not crashed", "[router]")
{
    for (const auto outcome : { connection_outcome::accepted, connection_outcome::unknown }) {
        router_fixture fixture;
        fixture.start();
        fixture.request(1, "/oneshot/x");
        fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
        fixture.step(connection_checked { fixture.only<check_connection>().check, outcome });
        CHECK_FALSE(fixture.hasLog("upstream_crashed"));
    }
}

TEST_CASE("an upstream whose answers break off often is checked a few times a second at most", "[router]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("llm-1", "llm", 1001) }, 5);
    int checks = 0;
    for (caller_id caller = 1; caller <= 100; ++caller) {
        fixture.request(caller, "/oneshot/x");
        fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
        checks += static_cast<int>(fixture.all<check_connection>().size());
        fixture.advance(milliseconds(10));
    }
    CHECK(checks >= 1);
    CHECK(checks <= 4);
}

TEST_CASE("a short stream that is complete clears the parts of its prompt", "[router]")
{
    // Again and again an upstream crashes with a request that has the part 7 of the fixture's prompts, and a short stream with it
    // succeeds.
    router_fixture fixture;
    std::vector<upstream_record> records;
    for (int number = 1; number <= 8; ++number)
        records.push_back(router_fixture::makeUpstream("llm-" + std::to_string(number), "llm", static_cast<std::uint16_t>(1000 + number)));
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList(records, 5);
    for (caller_id caller = 1; caller <= 10; caller += 2) {
        fixture.request(caller, "/oneshot/" + std::to_string(caller));
        fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "End of file" });
        // An upstream that has crashed a moment ago is not checked again.
        for (const auto& check : fixture.all<check_connection>())
            fixture.step(connection_checked { check.check, connection_outcome::refused });
        fixture.advance(milliseconds(300));
        fixture.request(caller + 1, "/oneshot/x");
        const auto number = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { number, router_fixture::answer(200, true, true) });
        fixture.step(answer_continued { number, "id: 1\ndata: x\n\n" });
        fixture.step(answer_ended { number });
        fixture.advance(milliseconds(300));
    }
    fixture.request(20, "/oneshot/x");
    INFO((fixture.all<refuse_reply>().empty() ? "" : fixture.all<refuse_reply>().front().refusal.message));
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("a request that is sent although upstreams have crashed with it is logged with the crashes seen", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/oneshot/x");
    CHECK_FALSE(fixture.hasLog("suspected_request_sent"));
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
    fixture.step(connection_checked { fixture.only<check_connection>().check, connection_outcome::refused });
    fixture.request(1, "/oneshot/x");
    CHECK(fixture.hasLog("suspected_request_sent"));
    fixture.request(2, "/oneshot/other");
    CHECK_FALSE(fixture.hasLog("suspected_request_sent"));
}

TEST_CASE("a request whose answer ended with its connection is suspected if the upstream turns out to have crashed", "[router]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("app-1", "app", 1003) }, 5);
    fixture.request(1, "/pay/x");
    const auto first = fixture.only<start_attempt>().attemptNumber;
    auto answer = router_fixture::answer(200);
    answer.head.endsWithConnection = true;
    fixture.step(answer_started { first, answer });
    fixture.step(answer_continued { first, "half of an ans" });
    fixture.step(answer_ended { first });
    CHECK(fixture.replyStatus() == 200);
    fixture.request(2, "/pay/y");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, false, "refused", connection_outcome::refused });
    CHECK(fixture.hasLog("upstream_crashed"));
    fixture.request(3, "/pay/x");
    CHECK(fixture.hasLog("suspected_request_sent"));
}

TEST_CASE("an upstream that breaks off a request just after it was checked is checked once more", "[router]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("llm-1", "llm", 1001) }, 5);
    fixture.request(1, "/oneshot/x");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
    fixture.step(connection_checked { fixture.only<check_connection>().check, connection_outcome::accepted });
    fixture.advance(milliseconds(100));
    fixture.request(2, "/oneshot/x");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
    CHECK(fixture.all<check_connection>().empty());
    const auto checks = router_fixture::all<check_connection>(fixture.advance(milliseconds(300)));
    REQUIRE(checks.size() == 1);
    fixture.step(connection_checked { checks[0].check, connection_outcome::refused });
    CHECK(fixture.hasLog("upstream_crashed"));
    CHECK(router_fixture::all<check_connection>(fixture.advance(seconds(2))).empty());
}

TEST_CASE("a check of an upstream's connections that has no answer is repeated", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/oneshot/x");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
    fixture.step(connection_checked { fixture.only<check_connection>().check, connection_outcome::unknown });
    const auto checks = router_fixture::all<check_connection>(fixture.advance(milliseconds(400)));
    REQUIRE(checks.size() == 1);
    fixture.step(connection_checked { checks[0].check, connection_outcome::refused });
    CHECK(fixture.hasLog("upstream_crashed"));
}

TEST_CASE("an upstream that breaks off requests and whose record disappears has crashed, unless it was leaving", "[router]")
{
    const auto isLeaving = GENERATE(false, true);
    CAPTURE(isLeaving);
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    auto record = router_fixture::makeUpstream("llm-1", "llm", 1001);
    fixture.answerUpstreamList({ record }, 5);
    fixture.request(1, "/oneshot/x");
    fixture.step(attempt_aborted { fixture.only<start_attempt>().attemptNumber, true, "reset" });
    fixture.step(connection_checked { fixture.only<check_connection>().check, connection_outcome::unknown });
    if (isLeaving) {
        record.leaving = true;
        fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "llm-1", 6, record } }, 6 } });
    }
    fixture.advance(milliseconds(3600));
    fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "llm-1", 7, removed_object {} } }, 7 } });
    CHECK(fixture.hasLog("upstream_crashed") == !isLeaving);
}
