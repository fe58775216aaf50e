#include "servers/router/urgency_order.h"

#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

route engineRoute(int rank)
{
    return router_fixture::makeRoute("/" + std::to_string(rank) + "/", "llm", [rank](route& item) { item.usesPromptCache = true; item.rank = rank; });
}

routing_config configOf(int routes, const std::vector<std::optional<int>>& organisationRanks)
{
    routing_config config;
    for (int rank = 0; rank < routes; ++rank)
        config.addRoute(engineRoute(rank));
    for (const auto& rank : organisationRanks)
        config.keys["key-" + std::to_string(config.keys.size())] = { "org", rank };
    return config;
}

} // namespace

TEST_CASE("urgency follows the rank of the organisation first and the rank of the route second", "[router]")
{
    const urgency_order order(configOf(3, { 0, 1 }));
    int previousUrgency = -1;
    for (int organisation = 0; organisation < 2; ++organisation) {
        for (int rank = 0; rank < 3; ++rank) {
            const int urgency = order.urgencyOf(engineRoute(rank), organisation);
            CHECK(urgency > previousUrgency);
            CHECK(urgency <= 9);
            previousUrgency = urgency;
        }
    }
}

TEST_CASE("a request of an organisation without a rank has the rank of its route", "[router]")
{
    const urgency_order order(configOf(2, { std::nullopt, 1 }));
    CHECK(order.urgencyOf(engineRoute(0), std::nullopt) < order.urgencyOf(engineRoute(0), 1));
    CHECK(order.urgencyOf(engineRoute(1), std::nullopt) == order.urgencyOf(engineRoute(1), 1));
}

TEST_CASE("the order is kept when there are more ranks than urgency levels", "[router]")
{
    const urgency_order order(configOf(7, { 0, 1, 2, 3 }));
    int previousUrgency = 0;
    for (int organisation = 0; organisation < 4; ++organisation) {
        for (int rank = 0; rank < 7; ++rank) {
            const int urgency = order.urgencyOf(engineRoute(rank), organisation);
            CHECK(urgency >= previousUrgency);
            CHECK(urgency <= 9);
            previousUrgency = urgency;
        }
    }
}

TEST_CASE("the attempt of a more urgent route of the same organisation carries a more urgent level", "[router]")
{
    router_fixture fixture;
    auto config = router_fixture::sampleConfig();
    config.keys["key-a"].rank = 1;
    fixture.answerConfigList(config, 5);
    fixture.answerUpstreamList({ router_fixture::makeUpstream("llm-1", "llm", 1001) }, 5);
    fixture.request(1, "/stream/x");
    const auto urgent = fixture.only<start_attempt>().urgency;
    fixture.request(2, "/oneshot/x");
    CHECK(urgent < fixture.only<start_attempt>().urgency);
}
