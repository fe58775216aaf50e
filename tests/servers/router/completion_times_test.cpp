#include "servers/router/completion_times.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::router;
using namespace std::chrono_literals;

TEST_CASE("the usual time of a route is one that most of its latest requests did not exceed", "[completion-times]")
{
    completion_times times;
    for (int index = 0; index < 7; ++index)
        times.record("a", 1s);
    CHECK_FALSE(times.usualTime("a"));
    times.record("a", 9s);
    CHECK(times.usualTime("a") == 1s);
    for (int index = 0; index < 32; ++index)
        times.record("a", std::chrono::seconds(index));
    CHECK(times.usualTime("a") == 24s);
    CHECK_FALSE(times.usualTime("b"));
}

TEST_CASE("routes that leave the configuration leave no times behind", "[completion-times]")
{
    completion_times times;
    for (int index = 0; index < 8; ++index) {
        times.record("stays", 1s);
        times.record("goes", 1s);
    }
    routing_config config;
    route kept;
    kept.name = "stays";
    kept.host = "host";
    kept.pathPrefix = "/stays/";
    config.addRoute(kept);
    times.retainRoutes(config);
    CHECK(times.usualTime("stays") == 1s);
    CHECK_FALSE(times.usualTime("goes"));
}
