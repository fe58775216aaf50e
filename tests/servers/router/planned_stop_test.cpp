#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

// Advances to the end of the grace and returns when the first effect of a type came, as the time since the SIGTERM.
template <typename Effect>
std::optional<duration> advanceUntil(router_fixture& fixture, instant terminatedAt, duration grace)
{
    while (fixture.now < terminatedAt + grace) {
        const auto effects = fixture.advance(milliseconds(10));
        if (!router_fixture::all<Effect>(effects).empty())
            return fixture.now - terminatedAt;
    }
    return std::nullopt;
}

// Whether the effects end the process without a condition.
bool endsProcess(const router_effects& effects)
{
    const auto orders = router_fixture::all<stop_router>(effects);
    return std::any_of(orders.begin(), orders.end(), [](const stop_router& order) { return !order.unlessConnectionsAreOpen; });
}

} // namespace

TEST_CASE("a request that an upstream still works on at the end of the grace is answered 504 before the process ends", "[router][stop]")
{
    for (const auto grace : { seconds(3), seconds(8), seconds(20) }) {
        auto options = router_fixture::defaultOptions();
        options.settings.shutdownGrace = grace;
        router_fixture fixture(options);
        fixture.start();
        auto config = router_fixture::sampleConfig();
        config.version = 2;
        config.addRoute(router_fixture::makeRoute("/long/", "app", [](route& item) { item.timeout = seconds(60); }));
        fixture.answerConfigWatch(config, 6);
        proxied_request item;
        item.requestId = "long";
        item.target = item.path = "/long/x";
        item.host = "host";
        item.apiKey = "key-a";
        fixture.step(request_arrived { 1, std::make_shared<const proxied_request>(std::move(item)) });
        REQUIRE(fixture.all<start_attempt>().size() == 1);
        const auto terminatedAt = fixture.now;
        fixture.step(termination_requested {});
        router_effects effects;
        while (router_fixture::all<refuse_reply>(effects).empty() && fixture.now < terminatedAt + grace) {
            effects = fixture.advance(milliseconds(10));
            REQUIRE_FALSE(endsProcess(effects));
        }
        const auto refusals = router_fixture::all<refuse_reply>(effects);
        REQUIRE(refusals.size() == 1);
        CHECK(httpStatus(refusals.front().refusal.code) == 504);
        CHECK(router_fixture::all<cancel_attempt>(effects).size() == 1);
        // Until the last sixth of the grace, an upstream may take its time.
        CHECK(fixture.now - terminatedAt >= grace * 5 / 6);
        CHECK(fixture.now - terminatedAt < grace);
        CHECK(endsProcess(fixture.advance(terminatedAt + grace - fixture.now)));
    }
}

TEST_CASE("a stream that is in progress at the end of the grace is broken off in time for its last events to be sent", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    const auto terminatedAt = fixture.now;
    fixture.step(termination_requested {});
    fixture.request(1, "/stream/x");
    const auto attempt = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { attempt, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { attempt, "id: 1\ndata: a\n\n" });
    const auto broken = advanceUntil<abort_reply>(fixture, terminatedAt, seconds(8));
    REQUIRE(broken);
    CHECK(*broken >= seconds(8) * 5 / 6);
    CHECK_FALSE(endsProcess(fixture.advance(milliseconds(100))));
    CHECK(endsProcess(fixture.advance(seconds(8))));
}

TEST_CASE("a late request whose deadline is after the last answers of a stop is refused at once", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    auto config = router_fixture::sampleConfig();
    config.version = 2;
    config.addRoute(router_fixture::makeRoute("/late/", "app", [](route& item) { item.timeout = milliseconds(4500); }));
    fixture.answerConfigWatch(config, 6);
    fixture.step(termination_requested {});
    fixture.advance(milliseconds(2900));
    // Its deadline is at 7.4 s.
    fixture.request(1, "/late/x");
    CHECK(fixture.all<start_attempt>().empty());
    REQUIRE(fixture.all<refuse_reply>().size() == 1);
    CHECK(httpStatus(fixture.only<refuse_reply>().refusal.code) == 503);
    CHECK(fixture.only<refuse_reply>().refusal.retryAfter);
}

TEST_CASE("a change of the grace during a stop does not make it accept requests that outlast it", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    const auto terminatedAt = fixture.now;
    fixture.step(termination_requested {});
    auto changed = router_fixture::defaultOptions().settings;
    changed.shutdownGrace = seconds(60);
    fixture.step(settings_changed { changed });
    fixture.advance(milliseconds(2900));
    fixture.request(1, "/stream/x");
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(endsProcess(fixture.advance(terminatedAt + seconds(8) - fixture.now)));
}

TEST_CASE("a second SIGTERM does not extend a stop", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/x");
    const auto terminatedAt = fixture.now;
    fixture.step(termination_requested {});
    fixture.advance(seconds(4));
    fixture.step(termination_requested {});
    CHECK(fixture.all<close_callers_after_answers>().empty());
    CHECK(endsProcess(fixture.advance(terminatedAt + seconds(8) - fixture.now)));
}

TEST_CASE("a process that was suspended beyond its grace answers its requests before it ends", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/x");
    fixture.request(2, "/oneshot/x");
    fixture.step(termination_requested {});
    fixture.now += seconds(30);
    fixture.step(router_timer_due {});
    CHECK(fixture.all<refuse_reply>().size() == 2);
    CHECK_FALSE(endsProcess(fixture.effects));
    CHECK(endsProcess(fixture.advance(seconds(1))));
}

TEST_CASE("a retry is not sent after the last answers of a stop", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/x");
    const auto attempt = fixture.only<start_attempt>().attemptNumber;
    fixture.step(termination_requested {});
    // The process is suspended, and the end of the attempt is the first event after that.
    fixture.now += milliseconds(7900);
    fixture.step(attempt_aborted { attempt, false, "reset", connection_outcome::unknown });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.replyStatus() == 503);
}

TEST_CASE("a stream that ends between the last answers and the end of a stop is not broken off", "[router][stop]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(termination_requested {});
    fixture.request(1, "/stream/x");
    const auto attempt = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { attempt, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { attempt, "id: 1\ndata: a\n\n" });
    CHECK(router_fixture::all<abort_reply>(fixture.advance(milliseconds(7400))).empty());
    fixture.step(answer_ended { attempt });
    CHECK(fixture.all<end_reply>().size() == 1);
}

namespace {

// Streams of the route /stream/ have taken 6 s and others a moment, then a stop begins.
struct long_streams : router_fixture {
    explicit long_streams(bool hasOtherRouter)
    {
        start();
        auto config = sampleConfig();
        config.version = 2;
        config.requiresKeys = false;
        answerConfigWatch(config, 6);
        std::vector<attempt_number> attempts;
        for (caller_id caller = 1; caller <= 8; ++caller) {
            complete(begin(100 + caller, "/oneshot/x"));
            attempts.push_back(begin(caller, "/stream/x"));
        }
        advance(seconds(6));
        for (const auto attempt : attempts)
            complete(attempt);
        step(termination_requested {});
        advance(milliseconds(1500));
        if (hasOtherRouter) {
            router_digest digest;
            digest.instance = "entry-2";
            digest.dataCentre = "dc-a";
            digest.sequence = 1;
            step(digest_received { "10.0.0.2", digest });
        }
    }

    attempt_number begin(caller_id caller, const std::string& path)
    {
        request(caller, path);
        return only<start_attempt>().attemptNumber;
    }

    void complete(attempt_number attempt)
    {
        step(answer_started { attempt, answer(200, true, true) });
        step(answer_continued { attempt, "id: 1\ndata: a\n\n" });
        step(answer_ended { attempt });
    }
};

} // namespace

TEST_CASE("a stopping router does not begin a stream that it would most likely cut off", "[router][stop]")
{
    long_streams fixture(true);
    fixture.request(200, "/stream/x");
    CHECK(fixture.all<start_attempt>().empty());
    REQUIRE(fixture.all<refuse_reply>().size() == 1);
    CHECK(httpStatus(fixture.only<refuse_reply>().refusal.code) == 503);
    CHECK(fixture.only<refuse_reply>().refusal.retryAfter);
    fixture.request(201, "/oneshot/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
    fixture.request(202, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("a stopping router that knows no other one begins streams that it may cut off", "[router][stop]")
{
    long_streams fixture(false);
    fixture.request(200, "/stream/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}
