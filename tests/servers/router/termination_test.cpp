#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

TEST_CASE("a terminating router is not ready but still accepts requests", "[router]")
{
    router_fixture fixture;
    fixture.start();
    REQUIRE(fixture.reducer.ready(fixture.now));
    fixture.step(termination_requested {});
    CHECK_FALSE(fixture.reducer.ready(fixture.now));
    CHECK(fixture.all<close_callers_after_answers>().size() == 1);
    fixture.request(1, "/stream/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("a request that arrives late in a shutdown with a deadline after its end is refused with 503", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.step(termination_requested {});
    fixture.advance(milliseconds(2900));
    fixture.request(1, "/stream/x");
    CHECK(fixture.replyStatus() == 503);
    CHECK(fixture.all<start_attempt>().empty());
    fixture.request(2, "/pay/x");
    CHECK(fixture.all<start_attempt>().size() == 1);
}

TEST_CASE("a terminating router stops when no request is in progress, and at the latest before the platform kills it", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/x");
    fixture.step(termination_requested {});
    CHECK(router_fixture::all<stop_router>(fixture.advance(seconds(7))).empty());
    const auto effects = fixture.advance(seconds(1));
    const auto answer = std::find_if(effects.begin(), effects.end(), [](const router_effect& effect) { return std::holds_alternative<refuse_reply>(effect); });
    REQUIRE(answer != effects.end());
    // No stop before the answer, and one without a condition after it.
    CHECK(router_fixture::all<stop_router>({ effects.begin(), answer }).empty());
    const auto orders = router_fixture::all<stop_router>({ answer, effects.end() });
    CHECK(std::count_if(orders.begin(), orders.end(), [](const stop_router& order) { return !order.unlessConnectionsAreOpen; }) == 1);

    router_fixture idle;
    idle.start();
    idle.step(termination_requested {});
    CHECK_FALSE(router_fixture::all<stop_router>(idle.advance(seconds(4))).empty());
}

TEST_CASE("a router with a short shutdown grace refuses late requests that it could not finish", "[router]")
{
    auto options = router_fixture::defaultOptions();
    options.settings.shutdownGrace = seconds(3);
    router_fixture fixture(options);
    fixture.start();
    fixture.request(1, "/stream/x");
    fixture.step(termination_requested {});
    fixture.advance(milliseconds(1900));
    fixture.request(2, "/pay/x");
    CHECK(fixture.replyStatus() == 503);
    fixture.step(caller_left { 1 });
    const auto orders = router_fixture::all<stop_router>(fixture.advance(milliseconds(300)));
    REQUIRE(orders.size() == 3);
    for (const auto& order : orders)
        CHECK(order.unlessConnectionsAreOpen);
}
