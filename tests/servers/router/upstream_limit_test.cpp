#include "servers/router/upstream_limit.h"

#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

const instant start = instant() + std::chrono::hours(1);

constexpr auto own = statement_source::this_router;
constexpr auto neighbour = statement_source::own_data_centre;
constexpr auto distant = statement_source::other_data_centre;

// Lets a request be answered with the given statement about a limit.
void answerWith(router_fixture& fixture, caller_id caller, upstream_answer answer)
{
    fixture.request(caller, "/pay/x");
    fixture.step(answer_started { fixture.only<start_attempt>().attemptNumber, std::move(answer) });
}

upstream_answer limitedAnswer(std::optional<result<double>> limit)
{
    auto answer = router_fixture::answer(200);
    answer.rateLimit = std::move(limit);
    return answer;
}

// A router that knows one upstream, which accepts as many requests as a test sends.
struct limited_router : router_fixture {
    limited_router()
    {
        answerConfigList(sampleConfig(), 5);
        answerUpstreamList({ makeUpstream("app-1", "app", 1003) }, 5);
        advance(seconds(4));
        answerWith(*this, 1, limitedAnswer(5000.0));
        advance(milliseconds(100));
    }

    std::optional<double> limit() const
    {
        const auto upstream = reducer.upstreams().find("app-1");
        return upstream->quota ? upstream->quota->limit.stated() : std::nullopt;
    }
};

} // namespace

TEST_CASE("the newest statement about a limit counts, whoever had it", "[rate-limit]")
{
    upstream_limit limit({ 5.0, start }, own, start);
    CHECK(limit.record({ 3.0, start + milliseconds(10) }, distant, start + milliseconds(20)));
    CHECK_FALSE(limit.record({ 7.0, start + milliseconds(5) }, neighbour, start + milliseconds(30)));
    CHECK(limit.requestsPerSecond(start + milliseconds(30)) == 3);
    CHECK_FALSE(limit.record({ 3.0, start + milliseconds(40) }, own, start + milliseconds(40)));
}

TEST_CASE("after the end of a limit the rate rises step by step", "[rate-limit]")
{
    upstream_limit limit({ 1.0, start }, own, start);
    CHECK(limit.record({ std::nullopt, start + seconds(1) }, own, start + seconds(1)));
    CHECK(limit.requestsPerSecond(start + seconds(1)) == 1);
    CHECK(limit.requestsPerSecond(start + seconds(4)) == 8);
    CHECK_FALSE(limit.isOver(start + seconds(6)));
    CHECK(limit.isOver(start + seconds(7)));
}

TEST_CASE("a limit of zero leaves a few requests that tell when it ends", "[rate-limit]")
{
    const upstream_limit limit({ 0.0, start }, own, start);
    CHECK(limit.requestsPerSecond(start) > 0);
    CHECK(limit.requestsPerSecond(start) <= 0.1);
}

TEST_CASE("a router passes on only statements that were told to itself or its data centre", "[rate-limit]")
{
    upstream_limit limit({ 5.0, start }, distant, start);
    CHECK_FALSE(limit.reportOfRouter(start).has_value());
    CHECK_FALSE(limit.reportOfDataCentre(start).has_value());
    limit.record({ 4.0, start + seconds(1) }, neighbour, start + seconds(1));
    CHECK_FALSE(limit.reportOfRouter(start + seconds(1)).has_value());
    CHECK(limit.reportOfDataCentre(start + seconds(1))->requestsPerSecond == 4.0);
    limit.record({ 3.0, start + seconds(2) }, own, start + seconds(2));
    CHECK(limit.reportOfRouter(start + seconds(2))->requestsPerSecond == 3.0);
    limit.record({ 3.0, start + seconds(3) }, distant, start + seconds(3));
    CHECK_FALSE(limit.reportOfRouter(start + seconds(3)).has_value());
    CHECK(limit.reportOfRouter(start + seconds(6))->requestsPerSecond == 3.0);
    limit.record({ std::nullopt, start + seconds(7) }, distant, start + seconds(7));
    CHECK_FALSE(limit.reportOfRouter(start + seconds(20)).has_value());
}

TEST_CASE("only an answer of the upstream itself without a limit ends it", "[rate-limit]")
{
    limited_router fixture;
    REQUIRE(fixture.limit() == 5000);
    answerWith(fixture, 2, limitedAnswer(error { "unreadable" }));
    CHECK(fixture.hasLog("upstream_limit_unreadable"));
    CHECK(fixture.limit() == 5000);
    answerWith(fixture, 3, router_fixture::answer(200, false));
    CHECK(fixture.limit() == 5000);
    answerWith(fixture, 4, limitedAnswer(2500.0));
    CHECK(fixture.limit() == 2500);
    answerWith(fixture, 5, router_fixture::refusal());
    CHECK_FALSE(fixture.limit().has_value());
}

TEST_CASE("the limit that another process names at an upstream's address is not the upstream's", "[rate-limit]")
{
    router_fixture fixture;
    fixture.start();
    auto answer = limitedAnswer(1.0);
    answer.wrongUpstream = true;
    fixture.request(1, "/pay/x");
    const auto attempt = fixture.only<start_attempt>();
    fixture.step(answer_started { attempt.attemptNumber, std::move(answer) });
    CHECK_FALSE(fixture.reducer.upstreams().find(attempt.upstreamId)->quota.has_value());
}

TEST_CASE("a limit outlasts a removal of the record and ends with the upstream's restart", "[rate-limit]")
{
    limited_router fixture;
    auto moved = router_fixture::makeUpstream("app-1", "app", 2003);
    fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "app-1", 6, moved } }, 6 } });
    CHECK(fixture.limit() == 5000);
    fixture.advance(milliseconds(100));
    auto successor = moved;
    successor.startedUnixMs = 2;
    fixture.step(upstreams_read { fixture.upstreamRead, store_changes<upstream_record> { { { "app-1", 7, successor } }, 7 } });
    CHECK_FALSE(fixture.limit().has_value());
}

TEST_CASE("an old report of a limit does not limit an upstream that names none", "[rate-limit]")
{
    router_fixture fixture;
    fixture.start();
    router_digest digest;
    digest.instance = "entry-2";
    digest.dataCentre = "dc-a";
    const auto key = fixture.reducer.upstreams().find("app-1")->key;
    digest.sequence = 1;
    digest.limits = { { key, 1, 1.0, seconds(60) }, { key, 2, 1.0, milliseconds(10) } };
    fixture.step(digest_received { "10.0.0.2", digest });
    CHECK_FALSE(fixture.reducer.upstreams().find("app-1")->quota.has_value());
    digest.sequence = 2;
    digest.limits = { { key, 1, 1.0, milliseconds(10) } };
    fixture.step(digest_received { "10.0.0.2", digest });
    CHECK(fixture.reducer.upstreams().find("app-1")->quota.has_value());
}
