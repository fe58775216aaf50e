#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

// Starts a router, passes in one request, and returns its first attempt.
start_attempt startOneAttempt(router_fixture& fixture, const std::string& path)
{
    fixture.start();
    fixture.request(1, path);
    return fixture.only<start_attempt>();
}

} // namespace

TEST_CASE("a complete signed answer is forwarded unchanged", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/pay/x");
    CHECK(attempt.organisation == "org-a");
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(200) });
    fixture.step(answer_continued { attempt.attemptNumber, "abc" });
    fixture.step(answer_ended { attempt.attemptNumber });
    const auto reply = fixture.only<send_reply>();
    CHECK(reply.head.status == 200);
    CHECK(reply.body == "abc");
    CHECK(fixture.reducer.requestCount() == 0);
}

TEST_CASE("a request that may have run and is not repeatable is answered with 502 and not retried", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/pay/x");
    fixture.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.replyStatus() == 502);
}

TEST_CASE("a request that was never sent is retried at another upstream, and refused with 503 when all have failed", "[router]")
{
    router_fixture fixture;
    const auto first = startOneAttempt(fixture, "/pay/x");
    fixture.step(attempt_aborted { first.attemptNumber, false, "refused" });
    const auto second = fixture.only<start_attempt>();
    CHECK(second.upstreamId != first.upstreamId);
    fixture.step(attempt_aborted { second.attemptNumber, false, "refused" });
    CHECK(fixture.replyStatus() == 503);
}

TEST_CASE("a request that all upstreams refuse is refused with 503, as not run and with a Retry-After", "[router]")
{
    router_fixture fixture;
    const auto first = startOneAttempt(fixture, "/pay/x");
    fixture.step(answer_started { first.attemptNumber, router_fixture::refusal() });
    const auto second = fixture.only<start_attempt>();
    fixture.step(answer_started { second.attemptNumber, router_fixture::refusal(429) });
    CHECK(fixture.replyStatus() == 503);
    CHECK(fixture.only<refuse_reply>().refusal.retryAfter.has_value());
    CHECK(fixture.only<refuse_reply>().refusal.ran == ran_state::no);
}

TEST_CASE("a 503 of an upstream without its statement that the request was not run becomes a 502", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/pay/x");
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(503) });
    fixture.step(answer_ended { attempt.attemptNumber });
    CHECK(fixture.replyStatus() == 502);
}

TEST_CASE("a success status without a signature is answered with 502, and the attempt is cancelled", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/pay/x");
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(200, false) });
    CHECK(fixture.all<cancel_attempt>().size() == 1);
    CHECK(fixture.replyStatus() == 502);
}

TEST_CASE("an upstream at whose address another upstream answers receives no further attempts", "[router]")
{
    router_fixture fixture;
    const auto first = startOneAttempt(fixture, "/pay/x");
    auto wrong = router_fixture::answer(421, false);
    wrong.wrongUpstream = true;
    fixture.step(answer_started { first.attemptNumber, wrong });
    fixture.only<start_attempt>();
    for (caller_id caller = 10; caller < 14; ++caller) {
        fixture.request(caller, "/pay/x");
        CHECK(fixture.only<start_attempt>().upstreamId != first.upstreamId);
    }
}

TEST_CASE("a repeatable request with an error answer is retried once, and then the error answer is forwarded", "[router]")
{
    router_fixture fixture;
    const auto first = startOneAttempt(fixture, "/look/x");
    fixture.step(answer_started { first.attemptNumber, router_fixture::answer(500) });
    fixture.step(answer_ended { first.attemptNumber });
    const auto second = fixture.only<start_attempt>();
    fixture.step(answer_started { second.attemptNumber, router_fixture::answer(500) });
    fixture.step(answer_ended { second.attemptNumber });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.replyStatus() == 500);
}

TEST_CASE("a repeatable request without an answer is sent to a second upstream, and the slower one is cancelled", "[router]")
{
    router_fixture fixture;
    const auto first = startOneAttempt(fixture, "/look/x");
    const auto effects = fixture.advance(milliseconds(250));
    const auto hedges = router_fixture::all<start_attempt>(effects);
    REQUIRE(hedges.size() == 1);
    fixture.step(answer_started { hedges[0].attemptNumber, router_fixture::answer(200) });
    fixture.step(answer_ended { hedges[0].attemptNumber });
    CHECK(fixture.replyStatus() == 200);
    CHECK(fixture.only<cancel_attempt>().attemptNumber == first.attemptNumber);
}

TEST_CASE("a caller that disconnects has its attempt cancelled", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/stream/x");
    fixture.step(caller_left { 1 });
    CHECK(fixture.only<cancel_attempt>().attemptNumber == attempt.attemptNumber);
    CHECK(fixture.reducer.requestCount() == 0);
}

TEST_CASE("a request without an answer is refused with 504 when its route's timeout has passed", "[router]")
{
    router_fixture fixture;
    startOneAttempt(fixture, "/pay/x");
    const auto effects = fixture.advance(milliseconds(1001));
    const auto replies = router_fixture::all<refuse_reply>(effects);
    REQUIRE(replies.size() == 1);
    CHECK(router_fixture::all<send_reply>(effects).empty());
    CHECK(httpStatus(replies[0].refusal.code) == 504);
    CHECK(router_fixture::all<cancel_attempt>(effects).size() == 1);
}

TEST_CASE("the upstream receives less time than the caller has left", "[router]")
{
    router_fixture fixture;
    const auto attempt = startOneAttempt(fixture, "/pay/x");
    CHECK(attempt.timeLeft < milliseconds(1000));
    CHECK(attempt.timeLeft > milliseconds(900));
}

TEST_CASE("retries stay within the share of the limit that this router has", "[router]")
{
    router_fixture fixture;
    fixture.start();
    int retries = 0;
    for (caller_id caller = 1; caller <= 100; ++caller) {
        fixture.request(caller, "/look/x");
        const auto first = fixture.only<start_attempt>();
        fixture.step(answer_started { first.attemptNumber, router_fixture::answer(500) });
        fixture.step(answer_ended { first.attemptNumber });
        retries += static_cast<int>(fixture.all<start_attempt>().size());
    }
    const router_settings settings;
    CHECK(retries > 0);
    CHECK(retries <= 100 * settings.retryRatio + settings.retryAllowance / 2);
}

TEST_CASE("no log line contains an API key, whether the key is known or not", "[router]")
{
    router_fixture fixture;
    auto config = router_fixture::sampleConfig();
    config.keys["secret-known"] = { "org-b", std::nullopt };
    fixture.answerConfigList(config, 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("app-1", "app", 1003) }, 5);
    router_effects all;
    const auto collectEffects = [&all](const router_effects& effects) { all.insert(all.end(), effects.begin(), effects.end()); };
    collectEffects(fixture.request(1, "/pay/x", "secret-known"));
    collectEffects(fixture.request(2, "/pay/x", "secret-unknown"));
    collectEffects(fixture.step(attempt_aborted { router_fixture::all<start_attempt>(all).front().attemptNumber, true, "reset" }));
    const auto lines = router_fixture::all<log_event>(all);
    CHECK(lines.size() >= 4);
    for (const auto& line : lines) {
        for (const auto& [name, value] : line.fields) {
            INFO(line.name << " " << name << "=" << value);
            CHECK(value.find("secret") == std::string::npos);
        }
    }
}

namespace {

constexpr std::size_t partBytes = 64 * 1024;

// Lets the upstream answer with a status and more bytes than the router buffers.
attempt_number answerWithManyBytes(router_fixture& fixture, int status)
{
    fixture.start();
    fixture.request(1, "/look/x");
    const auto number = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { number, router_fixture::answer(status) });
    for (int part = 0; part < 40 && fixture.all<start_reply>().empty() && fixture.all<cancel_attempt>().empty(); ++part)
        fixture.step(answer_continued { number, std::string(partBytes, 'x') });
    return number;
}

} // namespace

TEST_CASE("a large answer is passed on as it arrives, and ends as complete only with its last byte", "[router]")
{
    router_fixture fixture;
    const auto number = answerWithManyBytes(fixture, 200);
    CHECK(fixture.only<start_reply>().head.status == 200);
    CHECK(fixture.only<append_reply>().bytes.size() > 1024 * 1024);
    fixture.step(answer_continued { number, "end" });
    CHECK(fixture.only<append_reply>().bytes == "end");
    fixture.step(answer_ended { number });
    CHECK(fixture.all<end_reply>().size() == 1);
}

// Guards against many answers of which each is small enough to be kept, and which together exceed the memory.
TEST_CASE("while memory is short, a successful answer is passed on before it is large, and other answers are kept", "[router]")
{
    for (const int status : { 200, 500 }) {
        router_fixture fixture;
        fixture.start();
        fixture.request(1, "/look/x");
        const auto number = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { number, router_fixture::answer(status) });
        fixture.step(answer_continued { number, std::string(20000, 'x') });
        CHECK(fixture.all<append_reply>().empty());
        fixture.step(answer_continued { number, "y", true });
        CHECK(fixture.all<append_reply>().size() == (status == 200 ? 1 : 0));
        CHECK(fixture.all<cancel_attempt>().empty());
    }
}

TEST_CASE("a large answer that breaks off is neither retried nor complete", "[router]")
{
    router_fixture fixture;
    const auto number = answerWithManyBytes(fixture, 200);
    fixture.step(attempt_aborted { number, true, "reset" });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.all<abort_reply>().size() == 1);
}

TEST_CASE("an answer that never ends is broken off at the timeout of its route", "[router]")
{
    router_fixture fixture;
    const auto number = answerWithManyBytes(fixture, 200);
    const auto effects = fixture.advance(seconds(2));
    CHECK(router_fixture::all<abort_reply>(effects).size() == 1);
    const auto cancelled = router_fixture::all<cancel_attempt>(effects);
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled.front().attemptNumber == number);
}

TEST_CASE("an error answer that never ends is given up, and its connection closed", "[router]")
{
    router_fixture fixture;
    const auto number = answerWithManyBytes(fixture, 500);
    CHECK(fixture.only<cancel_attempt>().attemptNumber == number);
    // The request is repeatable, so another upstream gets it.
    CHECK(fixture.all<start_attempt>().size() == 1);
}

// Guards against requests that can't be repeated on connections that upstreams may have dropped.
TEST_CASE("an attempt may be lost only if another one may follow it", "[router][connections]")
{
    for (const auto* path : { "/pay/x", "/oneshot/x" }) {
        CAPTURE(path);
        router_fixture fixture;
        fixture.start();
        fixture.request(1, path);
        CHECK_FALSE(fixture.only<start_attempt>().mayBeLost);
    }
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/look/x");
    const auto first = fixture.only<start_attempt>();
    CHECK(first.mayBeLost);
    fixture.step(attempt_aborted { first.attemptNumber, true, "reset", connection_outcome::unknown, true });
    CHECK_FALSE(fixture.only<start_attempt>().mayBeLost);
}
