#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

// Starts a router, passes in one request, and returns its first attempt.
send_request sendOne(router_fixture& site, const std::string& path)
{
    site.start();
    site.request(1, path);
    return site.only<send_request>();
}

} // namespace

TEST_CASE("a complete signed answer is forwarded unchanged", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/pay/x");
    CHECK(send.organisation == "org-a");
    site.step(answer_started { send.send, router_fixture::answer(200) });
    site.step(answer_continued { send.send, "abc" });
    site.step(answer_ended { send.send });
    const auto reply = site.only<whole_reply>();
    CHECK(reply.head.status == 200);
    CHECK(reply.body == "abc");
    CHECK(site.reducer.requestCount() == 0);
}

TEST_CASE("a request that may have run and is not repeatable is answered with 502 and not retried", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/pay/x");
    site.step(send_failed { send.send, true, "reset" });
    CHECK(site.all<send_request>().empty());
    CHECK(site.replyStatus() == 502);
}

TEST_CASE("a request that was never sent is retried at another upstream, and refused with 503 when all have failed", "[router]")
{
    router_fixture site;
    const auto first = sendOne(site, "/pay/x");
    site.step(send_failed { first.send, false, "refused" });
    const auto second = site.only<send_request>();
    CHECK(second.upstreamId != first.upstreamId);
    site.step(send_failed { second.send, false, "refused" });
    CHECK(site.replyStatus() == 503);
}

TEST_CASE("a request that all upstreams refuse is refused with 503, as not run and with a Retry-After", "[router]")
{
    router_fixture site;
    const auto first = sendOne(site, "/pay/x");
    site.step(answer_started { first.send, router_fixture::refusal() });
    const auto second = site.only<send_request>();
    site.step(answer_started { second.send, router_fixture::refusal(429) });
    CHECK(site.replyStatus() == 503);
    CHECK(site.only<refuse_reply>().refusal.retryAfter.has_value());
    CHECK(site.only<refuse_reply>().refusal.ran == ran_state::no);
}

TEST_CASE("a 503 of an upstream without its statement that the request was not run becomes a 502", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/pay/x");
    site.step(answer_started { send.send, router_fixture::answer(503) });
    site.step(answer_ended { send.send });
    CHECK(site.replyStatus() == 502);
}

TEST_CASE("a success status without a signature is answered with 502, and the attempt is cancelled", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/pay/x");
    site.step(answer_started { send.send, router_fixture::answer(200, false) });
    CHECK(site.all<cancel_send>().size() == 1);
    CHECK(site.replyStatus() == 502);
}

TEST_CASE("an upstream whose address belongs to another one by now receives no further attempts", "[router]")
{
    router_fixture site;
    const auto first = sendOne(site, "/pay/x");
    auto wrong = router_fixture::answer(421, false);
    wrong.wrongUpstream = true;
    site.step(answer_started { first.send, wrong });
    site.only<send_request>();
    for (caller_id caller = 10; caller < 14; ++caller) {
        site.request(caller, "/pay/x");
        CHECK(site.only<send_request>().upstreamId != first.upstreamId);
    }
}

TEST_CASE("a repeatable request with an error answer is retried once, and then the error answer is forwarded", "[router]")
{
    router_fixture site;
    const auto first = sendOne(site, "/look/x");
    site.step(answer_started { first.send, router_fixture::answer(500) });
    site.step(answer_ended { first.send });
    const auto second = site.only<send_request>();
    site.step(answer_started { second.send, router_fixture::answer(500) });
    site.step(answer_ended { second.send });
    CHECK(site.all<send_request>().empty());
    CHECK(site.replyStatus() == 500);
}

TEST_CASE("a repeatable request without an answer is sent to a second upstream, and the slower one is cancelled", "[router]")
{
    router_fixture site;
    const auto first = sendOne(site, "/look/x");
    const auto effects = site.advance(milliseconds(250));
    const auto hedges = router_fixture::all<send_request>(effects);
    REQUIRE(hedges.size() == 1);
    site.step(answer_started { hedges[0].send, router_fixture::answer(200) });
    site.step(answer_ended { hedges[0].send });
    CHECK(site.replyStatus() == 200);
    CHECK(site.only<cancel_send>().send == first.send);
}

TEST_CASE("a caller that disconnects has its attempt cancelled", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/stream/x");
    site.step(caller_left { 1 });
    CHECK(site.only<cancel_send>().send == send.send);
    CHECK(site.reducer.requestCount() == 0);
}

TEST_CASE("a request without an answer is refused with 504 when its route's timeout has passed", "[router]")
{
    router_fixture site;
    sendOne(site, "/pay/x");
    const auto effects = site.advance(milliseconds(1001));
    const auto replies = router_fixture::all<refuse_reply>(effects);
    REQUIRE(replies.size() == 1);
    CHECK(router_fixture::all<whole_reply>(effects).empty());
    CHECK(httpStatus(replies[0].refusal.code) == 504);
    CHECK(router_fixture::all<cancel_send>(effects).size() == 1);
}

TEST_CASE("the upstream receives less time than the caller has left", "[router]")
{
    router_fixture site;
    const auto send = sendOne(site, "/pay/x");
    CHECK(send.timeLeft < milliseconds(1000));
    CHECK(send.timeLeft > milliseconds(900));
}

TEST_CASE("retries stay within the share of the limit that this router has", "[router]")
{
    router_fixture site;
    site.start();
    int again = 0;
    for (caller_id caller = 1; caller <= 100; ++caller) {
        site.request(caller, "/look/x");
        const auto first = site.only<send_request>();
        site.step(answer_started { first.send, router_fixture::answer(500) });
        site.step(answer_ended { first.send });
        again += static_cast<int>(site.all<send_request>().size());
    }
    const router_settings settings;
    CHECK(again > 0);
    CHECK(again <= 100 * settings.retryRatio + settings.retryAllowance / 2);
}

TEST_CASE("no log line contains an API key, whether the key is known or not", "[router]")
{
    router_fixture site;
    auto config = router_fixture::sampleConfig();
    config.keys["secret-known"] = { "org-b", std::nullopt };
    site.giveConfig(config, 5);
    site.giveUpstreams({ router_fixture::makeUpstream("app-1", "app", 1003) }, 5);
    router_effects all;
    const auto keep = [&all](const router_effects& effects) { all.insert(all.end(), effects.begin(), effects.end()); };
    keep(site.request(1, "/pay/x", "secret-known"));
    keep(site.request(2, "/pay/x", "secret-unknown"));
    keep(site.step(send_failed { router_fixture::all<send_request>(all).front().send, true, "reset" }));
    const auto lines = router_fixture::all<log_event>(all);
    CHECK(lines.size() >= 4);
    for (const auto& line : lines) {
        for (const auto& [name, value] : line.fields) {
            INFO(line.name << " " << name << "=" << value);
            CHECK(value.find("secret") == std::string::npos);
        }
    }
}
