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
