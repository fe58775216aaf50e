#include "tests/support/crashing_part_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

// After the fifth crash, routers have this long to stop sending requests with the part, and may send a few more.
constexpr auto reactionTime = seconds(3);
constexpr int maxLateAttempts = 3;

} // namespace

TEST_CASE("requests that share only a prompt part which crashes upstreams are refused after a few crashes", "[crashing-part]")
{
    crashing_part_fixture site({ .routers = 1 });
    site.run(seconds(15));
    CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
}

TEST_CASE("routers that each see few crashes of a prompt part refuse it together", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 6, .seed = seed });
        site.run(seconds(15));
        CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
    }
}

TEST_CASE("a prompt part that crashes upstreams is refused at every rate, position and number of upstreams", "[crashing-part][slow]")
{
    const auto badPartIsFirst = GENERATE(false, true);
    const auto interval = GENERATE(milliseconds(100), milliseconds(400), milliseconds(1500), milliseconds(4000));
    const auto engines = GENERATE(4, 9, 40);
    const auto routers = GENERATE(std::size_t(2), std::size_t(12));
    CAPTURE(badPartIsFirst, interval.count(), engines, routers);
    crashing_part_fixture site({ .routers = routers, .engines = engines, .badRequestInterval = interval, .badPartIsFirst = badPartIsFirst });
    site.run(seconds(10) + 8 * interval);
    CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
}

TEST_CASE("a prompt part that crashes all of a few upstreams is refused in every draw, and sound requests are served on", "[crashing-part][slow]")
{
    const auto routers = GENERATE(std::size_t(2), std::size_t(12));
    const auto engines = GENERATE(4, 9, 40);
    CAPTURE(routers, engines);
    double sound = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = routers, .engines = engines, .seed = seed, .badRequestInterval = milliseconds(100), .badPartIsFirst = true });
        site.run(milliseconds(10800));
        CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
        CHECK(site.refusedParts <= static_cast<int>(routers));
        sound += site.answeredShare(crashing_part_fixture::commonPart, site.timeOfCrash(5) + 2 * reactionTime);
    }
    CHECK(sound > 0.9 * 60);
}

TEST_CASE("requests that differ only in the last part of their prompts count as different ones", "[crashing-part]")
{
    crashing_part_fixture site({ .routers = 1, .hasBodies = false });
    site.run(seconds(15));
    CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
}

TEST_CASE("sound requests with the same caller and the other parts of a refused prompt are served on", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 6, .seed = seed, .badPartIsFirst = seed % 2 == 0 });
        site.run(seconds(12));
        const auto from = site.timeOfCrash(3) + 2 * reactionTime;
        site.run(seconds(20));
        CHECK(site.answeredShare(crashing_part_fixture::commonPart, from) > 0.95);
        for (std::uint64_t subject = 0; subject < site.subjects; ++subject) {
            CAPTURE(subject);
            CHECK(site.answeredShare(crashing_part_fixture::firstSubject + subject, from) > 0.9);
        }
    }
}

TEST_CASE("upstreams that crash for another reason make no router refuse a prompt part", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 4, .seed = seed });
        site.sendsBadRequests = false;
        site.subjects = seed % 2 == 0 ? 10 : 200;
        for (std::size_t round = 0; round < 60; ++round) {
            site.run(milliseconds(700));
            site.crashEngine(round % 9);
        }
        CHECK(site.refusedParts == 0);
    }
}

TEST_CASE("all upstreams that fail at one moment, again and again, make no router refuse a prompt part", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 4, .seed = seed });
        site.sendsBadRequests = false;
        site.subjects = 100;
        for (int round = 0; round < 6; ++round) {
            site.run(seconds(6));
            for (std::size_t engine = 0; engine < 9; ++engine)
                site.crashEngine(engine);
        }
        CHECK(site.refusedParts == 0);
    }
}

TEST_CASE("a router that starts while a prompt part is refused learns so from the others", "[crashing-part]")
{
    crashing_part_fixture site({ .routers = 4 });
    site.run(seconds(12));
    REQUIRE(site.badAttemptsAfter(site.fleet.now() - seconds(4)) == 0);
    site.fleet.add("dc-0");
    site.fleet.add("dc-1");
    const auto restartedAt = site.fleet.now();
    site.run(seconds(15));
    CHECK(site.badAttemptsAfter(restartedAt + reactionTime) == 0);
}

TEST_CASE("lost and delayed digests don't keep routers from refusing a prompt part", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 8, .seed = seed });
        site.fleet.net.lossShare = 0.2;
        site.fleet.net.maxDelay = milliseconds(100);
        site.run(seconds(15));
        CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
        CHECK(site.answeredShare(crashing_part_fixture::commonPart, site.timeOfCrash(5) + 2 * reactionTime) > 0.9);
    }
}

TEST_CASE("a prompt part stays refused when all routers restart at once", "[crashing-part]")
{
    crashing_part_fixture site({ .routers = 4 });
    site.run(seconds(12));
    REQUIRE(site.badAttemptsAfter(site.fleet.now() - seconds(4)) == 0);
    for (std::size_t number = 0; number < 4; ++number)
        site.fleet.kill(number);
    for (int number = 0; number < 4; ++number)
        site.fleet.add(number % 2 == 0 ? "dc-0" : "dc-1");
    const auto restartedAt = site.fleet.now();
    site.run(seconds(15));
    CHECK(site.badAttemptsAfter(restartedAt) == 0);
}

TEST_CASE("a router that can't hear the others learns of a refused prompt part from the store", "[crashing-part]")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        crashing_part_fixture site({ .routers = 4, .seed = seed });
        site.fleet.net.isCut = [](const std::string& from, const std::string& to) { return from == "10.0.0.4" || to == "10.0.0.4"; };
        site.run(seconds(30));
        CHECK(site.badArrivalsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
    }
}

TEST_CASE("refused prompt parts are written to the store once it is up again, by the routers that found them only", "[crashing-part]")
{
    crashing_part_fixture site({ .routers = 12 });
    site.fleet.refusalStoreIsDown = true;
    site.run(seconds(15));
    CHECK(site.badAttemptsAfter(site.timeOfCrash(5) + reactionTime) <= maxLateAttempts);
    CHECK(site.fleet.storedRefusals.empty());
    const auto writesWhileDown = site.fleet.refusalWrites;
    site.fleet.refusalStoreIsDown = false;
    site.run(seconds(20));
    CHECK(site.fleet.storedRefusals.size() == 1);
    CHECK(site.fleet.refusalWrites - writesWhileDown <= 12);
}

TEST_CASE("a prompt part that no longer crashes upstreams is served again after its refusal", "[crashing-part]")
{
    // Few sound requests, since eleven minutes are simulated.
    crashing_part_fixture site({ .routers = 3, .soundRequestInterval = milliseconds(1000) });
    site.run(seconds(10));
    REQUIRE(site.badAttemptsAfter(site.fleet.now() - seconds(3)) == 0);
    site.partIsBad = false;
    site.sendsBadRequests = false;
    site.run(std::chrono::minutes(11));
    site.sendsBadRequests = true;
    const auto from = site.fleet.now();
    site.run(seconds(10));
    CHECK(site.badAttemptsAfter(from) >= 10);
    CHECK(site.fleet.storedRefusals.empty());
}
