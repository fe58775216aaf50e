#include "servers/router/rate_share.h"

#include <catch2/catch.hpp>
#include <chrono>

using namespace kumquat;
using namespace kumquat::router;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

std::string routerName(int number) { return "entry-" + std::to_string(number); }
std::string dataCentreOf(int number, int dataCentres) { return "dc-" + std::to_string(number % dataCentres); }

// What a router counts once it is in touch with all others, of which one may be missing.
router_census censusOf(int router, int routers, int dataCentres, int missing = -1)
{
    router_census census;
    census.setSelf(routerName(router), dataCentreOf(router, dataCentres), true);
    std::vector<std::string> neighbours;
    std::map<std::string, int> others;
    for (int other = 0; other < routers; ++other) {
        if (other == router || other == missing)
            continue;
        if (dataCentreOf(other, dataCentres) == dataCentreOf(router, dataCentres))
            neighbours.push_back(routerName(other));
        else
            ++others[dataCentreOf(other, dataCentres)];
    }
    census.update(neighbours, others, start);
    return census;
}

} // namespace

TEST_CASE("the shares of all routers add up to the limit, and their bursts stay small", "[rate-limit]")
{
    const auto routers = GENERATE(1, 4, 5, 68, 370);
    const auto dataCentres = GENERATE(1, 4, 7);
    const auto limit = GENERATE(0.1, 1.0, 2.5, 40.0, 1000.0);
    CAPTURE(routers, dataCentres, limit);
    std::vector<router_census> censuses;
    censuses.reserve(static_cast<std::size_t>(routers));
    for (int router = 0; router < routers; ++router)
        censuses.push_back(censusOf(router, routers, dataCentres));
    censuses.front().setSelf(routerName(0), "dc-0", routers > 1);
    for (std::uint64_t upstream = 1; upstream <= 20; ++upstream) {
        rate_share sum;
        for (const auto& census : censuses) {
            const auto share = shareOfLimit(limit, upstream * 7919, census, start);
            sum.requestsPerSecond += share.requestsPerSecond;
            sum.burst += share.burst;
        }
        CHECK(sum.requestsPerSecond == Approx(limit));
        CHECK(sum.burst <= limit + 3);
    }
}

TEST_CASE("a router that is missing changes few shares, and the others don't use its share before it has been silent for long", "[rate-limit]")
{
    constexpr int routers = 370;
    constexpr int dataCentres = 7;
    int changed = 0;
    for (int router = 0; router < routers; ++router) {
        if (router == 8)
            continue;
        auto census = censusOf(router, routers, dataCentres);
        const auto before = shareOfLimit(2, 42, census, start);
        const auto after = shareOfLimit(2, 42, censusOf(router, routers, dataCentres, 8), start);
        changed += before == after ? 0 : 1;
        const bool isNeighbour = dataCentreOf(router, dataCentres) == dataCentreOf(8, dataCentres);
        if (!isNeighbour)
            continue;
        std::vector<std::string> neighbours = census.neighbours();
        std::erase(neighbours, routerName(8));
        census.update(neighbours, census.otherDataCentres(), start + seconds(10));
        CHECK(shareOfLimit(2, 42, census, start + seconds(10)) == before);
        CHECK(census.count() == routers);
        census.update(neighbours, census.otherDataCentres(), start + seconds(25));
        CHECK(census.count() == routers - 1);
    }
    CHECK(changed <= 2);
}

TEST_CASE("a router has no share until it may know all others, and a small one while it hears none", "[rate-limit]")
{
    auto census = censusOf(0, 4, 2);
    census.unsettle(start);
    CHECK(shareOfLimit(8, 1, census, start + seconds(2)) == rate_share {});
    CHECK(shareOfLimit(8, 1, census, start + seconds(3)).requestsPerSecond == 2);
    router_census isolated;
    isolated.setSelf("entry-1", "dc-0", true);
    CHECK(shareOfLimit(8, 1, isolated, start).requestsPerSecond == 1);
    CHECK(shareOfLimit(1, 1, isolated, start).requestsPerSecond == 0.125);
}

TEST_CASE("a router that says that it shuts down is not counted any more", "[rate-limit]")
{
    auto census = censusOf(0, 4, 1);
    const auto version = census.version();
    census.remove(routerName(2));
    CHECK(census.count() == 3);
    CHECK(census.version() != version);
}
