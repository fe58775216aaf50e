#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

TEST_CASE("a terminating router is not ready but still accepts requests", "[router]")
{
    router_fixture site;
    site.start();
    REQUIRE(site.reducer.ready(site.now));
    site.step(termination_requested {});
    CHECK_FALSE(site.reducer.ready(site.now));
    CHECK(site.all<close_callers_after_answers>().size() == 1);
    site.request(1, "/stream/x");
    CHECK(site.all<start_attempt>().size() == 1);
}

TEST_CASE("a request that arrives late in a shutdown with a deadline after its end is refused with 503", "[router]")
{
    router_fixture site;
    site.start();
    site.step(termination_requested {});
    site.advance(milliseconds(2900));
    site.request(1, "/stream/x");
    CHECK(site.replyStatus() == 503);
    CHECK(site.all<start_attempt>().empty());
    site.request(2, "/pay/x");
    CHECK(site.all<start_attempt>().size() == 1);
}

TEST_CASE("a terminating router stops when no request is in progress, and at the latest before the platform kills it", "[router]")
{
    router_fixture site;
    site.start();
    site.request(1, "/stream/x");
    site.step(termination_requested {});
    CHECK(router_fixture::all<stop_router>(site.advance(seconds(7))).empty());
    CHECK_FALSE(router_fixture::all<stop_router>(site.advance(seconds(1))).empty());

    router_fixture idle;
    idle.start();
    idle.step(termination_requested {});
    CHECK_FALSE(router_fixture::all<stop_router>(idle.advance(seconds(4))).empty());
}

TEST_CASE("a router with a short shutdown grace refuses late requests that it could not finish", "[router]")
{
    auto options = router_fixture::defaultOptions();
    options.settings.shutdownGrace = seconds(3);
    router_fixture site(options);
    site.start();
    site.request(1, "/stream/x");
    site.step(termination_requested {});
    site.advance(milliseconds(1900));
    site.request(2, "/pay/x");
    CHECK(site.replyStatus() == 503);
    site.step(caller_left { 1 });
    const auto effects = site.advance(milliseconds(300));
    CHECK(router_fixture::all<stop_router>(effects).size() == 1);
}
