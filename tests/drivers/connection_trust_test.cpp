#include "drivers/asio/connection_trust.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto soon = milliseconds(1);
const instant start = instant() + std::chrono::hours(1);
const std::string server = "10.0.0.1:80";
const std::string other = "10.0.0.2:80";

} // namespace

// Guards against new connections, which are priced, where nothing was lost.
TEST_CASE("without a loss each idle connection is used", "[connections]")
{
    connection_trust trust;
    trust.recordAnswer(server, seconds(1), start);
    for (const duration rested : { duration(milliseconds(1)), duration(milliseconds(400)), duration(seconds(30)) })
        CHECK(trust.mayReuse(server, rested, false, start));
}

// Guards against one request after the other that is lost on connections that upstreams have dropped.
TEST_CASE("after a loss a request that can't be repeated goes only to connections that are proved or have hardly rested", "[connections]")
{
    connection_trust trust;
    CHECK(trust.recordLoss(server, milliseconds(800), soon, start));
    for (const auto& name : { server, other }) {
        CAPTURE(name);
        CHECK_FALSE(trust.mayReuse(name, milliseconds(300), false, start));
        CHECK_FALSE(trust.mayReuse(name, milliseconds(60), false, start));
        CHECK(trust.mayReuse(name, milliseconds(10), false, start));
    }
    trust.recordAnswer(other, milliseconds(500), start);
    CHECK(trust.mayReuse(other, milliseconds(500), false, start));
    CHECK_FALSE(trust.mayReuse(other, milliseconds(501), false, start));
    CHECK_FALSE(trust.mayReuse(server, milliseconds(300), false, start));
    // What was proved counts no more after a loss at the same server.
    CHECK(trust.recordLoss(other, milliseconds(400), soon, start + seconds(1)));
    CHECK_FALSE(trust.mayReuse(other, milliseconds(100), false, start + seconds(1)));
}

// Guards against retries that meet dropped connections of one server again and again.
TEST_CASE("after a loss requests that can be repeated use shorter rests at that server alone", "[connections]")
{
    connection_trust trust;
    trust.recordLoss(server, milliseconds(800), soon, start);
    CHECK(trust.mayReuse(server, milliseconds(400), true, start));
    CHECK_FALSE(trust.mayReuse(server, milliseconds(401), true, start));
    CHECK(trust.mayReuse(other, seconds(3), true, start));
    trust.recordLoss(server, milliseconds(400), soon, start);
    CHECK_FALSE(trust.mayReuse(server, milliseconds(201), true, start));
}

// Guards against a distrust that never ends, and against one that ends while servers go on dropping connections.
TEST_CASE("distrust ends without further losses, and lasts longer each time that they come again", "[connections]")
{
    connection_trust trust;
    auto now = start;
    trust.recordLoss(server, seconds(1), soon, now);
    const auto first = trust.distrustTime();
    CHECK_FALSE(trust.mayReuse(server, milliseconds(300), false, now + first - soon));
    CHECK(trust.mayReuse(server, seconds(3), false, now + first));
    now += first + seconds(1);
    trust.recordLoss(other, seconds(1), soon, now);
    CHECK(trust.distrustTime() == 2 * first);
    // The same losses, seen on connections that were in use at the time, are no further ones.
    trust.recordLoss(server, seconds(1), soon, now + soon);
    CHECK(trust.distrustTime() == 2 * first);
    now += 2 * first + soon;
    CHECK(trust.mayReuse(server, seconds(3), false, now));
    now += 3 * first;
    trust.recordLoss(server, seconds(1), soon, now);
    CHECK(trust.distrustTime() == first);
    for (int time = 0; time < 20; ++time) {
        now += trust.distrustTime();
        trust.recordLoss(server, seconds(1), soon, now);
    }
    CHECK(trust.distrustTime() <= std::chrono::minutes(5));
}

// Guards against crashes, and ends of connections in steady use, that are taken for dropped connections.
TEST_CASE("an end long after the request, or of a connection that has hardly rested, is no loss", "[connections]")
{
    connection_trust trust;
    CHECK_FALSE(trust.recordLoss(server, seconds(1), milliseconds(500), start));
    CHECK_FALSE(trust.recordLoss(server, milliseconds(5), soon, start));
    CHECK(trust.mayReuse(server, seconds(1), false, start));
}

// Guards against news of another router that shorten or lengthen what this one has learned.
TEST_CASE("a loss of another client is distrusted for the shortest time", "[connections]")
{
    connection_trust trust;
    trust.distrust(start);
    CHECK_FALSE(trust.mayReuse(server, milliseconds(300), false, start + seconds(9)));
    CHECK(trust.mayReuse(server, milliseconds(300), true, start + seconds(9)));
    CHECK(trust.mayReuse(server, milliseconds(300), false, start + seconds(10)));
    trust.recordLoss(server, milliseconds(800), soon, start + seconds(11));
    const auto until = start + seconds(11) + trust.distrustTime();
    trust.distrust(start + seconds(12) - trust.distrustTime());
    CHECK_FALSE(trust.mayReuse(other, milliseconds(300), false, until - soon));
}
