#include "servers/sidecar/sidecar_reducer.h"

#include "tests/support/effects.h"
#include "tests/support/sidecar_driver.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::only;
using kumquat_test::sidecar_driver;

TEST_CASE("fifo scheduling starts attempts in order of arrival, and a full queue refuses the arrival whatever its tier")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 2, .policy = fifo_scheduling {} });
    driver.submitOffer({ .id = "running" });
    driver.submitOffer({ .id = "bulk", .tierRank = 2 });
    driver.submitOffer({ .id = "critical", .tierRank = 0 });
    const auto refused = driver.refusedRequests(driver.submitOffer({ .id = "late", .tierRank = 0 }));
    CHECK(refused == std::vector<std::string> { "late" });
    CHECK(driver.startedRequests(driver.finish("running")) == std::vector<std::string> { "bulk" });
    CHECK(driver.startedRequests(driver.finish("bulk")) == std::vector<std::string> { "critical" });
}

TEST_CASE("priority scheduling starts the highest tier first, and a full queue drops the lowest tier for a higher arrival")
{
    sidecar_driver driver({ .slots = 1, .queueLimit = 2, .policy = priority_scheduling {} });
    driver.submitOffer({ .id = "running" });
    driver.submitOffer({ .id = "bulk", .tierRank = 2 });
    driver.submitOffer({ .id = "interactive", .tierRank = 1 });
    const auto refused = driver.refusedRequests(driver.submitOffer({ .id = "critical", .tierRank = 0 }));
    CHECK(refused == std::vector<std::string> { "bulk" });
    CHECK(driver.startedRequests(driver.finish("running")) == std::vector<std::string> { "critical" });
    CHECK(driver.startedRequests(driver.finish("critical")) == std::vector<std::string> { "interactive" });
}
