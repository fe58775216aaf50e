#include "tests/support/resumption_fixture.h"

#include <iostream>

using namespace kumquat;
using namespace kumquat::router;

namespace {

constexpr std::size_t smallFleet = 4;
constexpr std::size_t largeFleet = 370;

// The sizes that run today, and the largest one that is designed for.
resumption_fixture::options fleetOf(std::size_t routers, unsigned seed = 1)
{
    if (routers == smallFleet)
        return { .routers = routers, .dataCentres = 4, .seed = seed };
    return { .routers = routers, .dataCentres = 7, .seed = seed, .streamInterval = milliseconds(4) };
}

// So many upstreams of each version.
std::vector<std::string> versions(std::size_t count, const std::vector<std::string>& names)
{
    std::vector<std::string> all;
    for (std::size_t number = 0; number < count; ++number)
        all.insert(all.end(), names.begin(), names.end());
    return all;
}

// Of the streams that callers take up, at least half as many go on as new ones begin.
void checkShares(const resumption_fixture& site, instant from, int minTakenUp)
{
    const auto counts = site.tallySince(from);
    CHECK(counts.takenUp >= minTakenUp);
    CHECK(counts.wentOnShare() >= 0.5 * counts.beganShare());
}

} // namespace

TEST_CASE("a stream that breaks off goes on only at the software version that began it", "[resumption]")
{
    const auto names = GENERATE(std::vector<std::string> { "v1", "v1.1" }, std::vector<std::string> { "v2", "v1", "" });
    for (unsigned seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed, names.size());
        resumption_fixture site(fleetOf(smallFleet, seed), versions(3, names));
        site.run(seconds(5));
        for (int round = 0; round < 8; ++round) {
            const auto& version = names[static_cast<std::size_t>(round) % names.size()];
            site.lose(site.upstreamsOf(version).front());
            site.addUpstream(version);
            site.run(milliseconds(700));
        }
        CHECK(site.joinedStreams() == 0);
        CHECK(site.completeStreams() >= 100);
    }
}

TEST_CASE("370 routers let streams go on only at the software version that began them", "[resumption][slow]")
{
    resumption_fixture site(fleetOf(largeFleet), versions(8, { "v1", "v1.1", "v2" }));
    site.run(seconds(5));
    const auto start = site.fleet.now();
    for (int round = 0; round < 6; ++round) {
        for (const auto* version : { "v1", "v1.1", "v2" }) {
            site.lose(site.upstreamsOf(version).front());
            site.addUpstream(version);
        }
        site.restartRouter(static_cast<std::size_t>(round) * 11);
        site.run(milliseconds(500));
    }
    CHECK(site.joinedStreams() == 0);
    checkShares(site, start, 0);
}

TEST_CASE("within one answer no stream is joined from two versions, with four routers and with 370", "[resumption][slow]")
{
    const auto routers = GENERATE(smallFleet, largeFleet);
    CAPTURE(routers);
    auto options = fleetOf(routers);
    options.maxTries = 1;
    resumption_fixture site(options, versions(routers == smallFleet ? 3 : 10, { "v1", "v1.1", "v2" }));
    site.run(seconds(5));
    for (int round = 0; round < 4; ++round) {
        for (const auto* version : { "v1", "v1.1", "v2" }) {
            site.lose(site.upstreamsOf(version).front());
            site.addUpstream(version);
        }
        site.run(milliseconds(500));
    }
    CHECK(site.joinedStreams() == 0);
    CHECK(site.completeStreams() >= 20);
}

TEST_CASE("a stream that its caller takes up at another router goes on at its version, while routers die", "[resumption]")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        resumption_fixture site(fleetOf(smallFleet, seed), versions(3, { "v1", "v1.1" }));
        site.run(seconds(6));
        const auto from = site.fleet.now();
        for (std::size_t round = 0; round < 8; ++round) {
            site.killRouter(round % smallFleet);
            site.run(milliseconds(600));
            site.restartRouter(round % smallFleet);
            site.run(milliseconds(900));
        }
        CHECK(site.joinedStreams() == 0);
        checkShares(site, from, 40);
    }
}

TEST_CASE("at 370 routers a stream that its caller takes up at another router goes on at its version, while routers and a data centre die", "[resumption][slow]")
{
    resumption_fixture site(fleetOf(largeFleet), versions(12, { "v1", "v1.1" }));
    site.run(seconds(5));
    const auto from = site.fleet.now();
    for (std::size_t round = 0; round < 4; ++round) {
        for (std::size_t number = 0; number < 12; ++number)
            site.restartRouter(round * 12 + number);
        site.run(milliseconds(400));
    }
    for (std::size_t number = 0; number < largeFleet; number += 7)
        site.killRouter(number);
    site.run(milliseconds(1500));
    CHECK(site.joinedStreams() == 0);
    checkShares(site, from, 40);
}

namespace {

// Every stream that can't go on was refused at once, as not run. Others may wait for an upstream, or fail there.
void checkRefusedAtOnce(const resumption_fixture& site)
{
    for (const auto& [refusal, elapsed] : site.takeUpRefusals) {
        if (refusal.code != error_code::stream_not_resumable)
            continue;
        CHECK(refusal.ran == ran_state::no);
        CHECK(httpStatus(refusal.code) == 503);
        CHECK(elapsed <= milliseconds(100));
    }
}

std::size_t refusalsWith(const resumption_fixture& site, error_code code)
{
    return static_cast<std::size_t>(std::count_if(site.takeUpRefusals.begin(), site.takeUpRefusals.end(), [code](const auto& item) { return item.refusal.code == code; }));
}

// Kills each router of a small fleet in turn and restarts it.
void restartInTurn(resumption_fixture& site, std::size_t rounds)
{
    for (std::size_t round = 0; round < rounds; ++round) {
        site.killRouter(round % smallFleet);
        site.run(milliseconds(500));
        site.restartRouter(round % smallFleet);
        site.run(milliseconds(900));
    }
}

} // namespace

TEST_CASE("a stream whose first request is unknown, missing or of another route or organisation is refused at once while versions differ", "[resumption]")
{
    const auto variant = GENERATE(0, 1, 2);
    CAPTURE(variant);
    resumption_fixture site(fleetOf(smallFleet), versions(3, { "v1", "v2" }));
    site.changeTakeUp = [variant](proxied_request& item) {
        if (variant == 0)
            item.resumedRequestId = "request-of-nobody";
        if (variant == 1)
            item.resumedRequestId.clear();
        if (variant == 2)
            item.path = item.target = "/stream-b/x";
    };
    site.run(seconds(6));
    restartInTurn(site, 4);
    CHECK(site.joinedStreams() == 0);
    CHECK(site.tallySince(instant {}).wentOn == 0);
    CHECK(refusalsWith(site, error_code::stream_not_resumable) >= 10);
    checkRefusedAtOnce(site);
    for (const auto& [refusal, elapsed] : site.takeUpRefusals)
        CHECK_FALSE(refusal.retryAfter.has_value());
}

TEST_CASE("streams of a service with one version alone go on at every router, and nothing is told about them", "[resumption]")
{
    resumption_fixture site(fleetOf(smallFleet), versions(6, { "v1" }));
    // Longer than any stream of the route lives.
    site.run(seconds(26));
    const auto messages = site.fleet.streamMessages;
    auto from = site.fleet.now();
    site.run(seconds(3));
    CHECK(site.fleet.streamMessages == messages);
    from = site.fleet.now();
    restartInTurn(site, 4);
    const auto counts = site.tallySince(from);
    CHECK(counts.takenUp >= 20);
    CHECK(counts.wentOnShare() >= 0.95 * counts.beganShare());
}

TEST_CASE("streams that began before a second version appeared go on after it has", "[resumption]")
{
    resumption_fixture site(fleetOf(smallFleet), versions(6, { "v1" }));
    site.run(seconds(26));
    site.addUpstream("v2");
    site.addUpstream("v2");
    site.run(milliseconds(100));
    const auto from = site.fleet.now();
    restartInTurn(site, 4);
    CHECK(site.joinedStreams() == 0);
    checkShares(site, from, 20);
    CHECK(site.tallySince(from).wentOnShare() >= 0.9);
}

TEST_CASE("when all routers restart at once, streams go on only where their version is known", "[resumption]")
{
    resumption_fixture site(fleetOf(smallFleet), versions(3, { "v1", "v2" }));
    site.run(seconds(6));
    for (int round = 0; round < 4; ++round) {
        for (std::size_t router = 0; router < smallFleet; ++router)
            site.restartRouter(router);
        site.run(seconds(2));
    }
    CHECK(site.joinedStreams() == 0);
    checkRefusedAtOnce(site);
    const auto from = site.fleet.now();
    site.run(seconds(4));
    restartInTurn(site, 4);
    checkShares(site, from, 20);
}

TEST_CASE("routers that are cut off from the others and from the store join no streams, and refuse at once what they don't know", "[resumption]")
{
    const auto version = GENERATE(std::string("v1"), std::string("v2"));
    resumption_fixture site(fleetOf(smallFleet), versions(3, { "v1", version }));
    site.run(seconds(26));
    bool isCut = true;
    site.fleet.net.isCut = [&](const std::string& from, const std::string& to) { return isCut && (from == site.fleet.address(3)) != (to == site.fleet.address(3)); };
    site.fleet.isStoreCut = [&](std::size_t router) { return isCut && router == 3; };
    site.run(milliseconds(500));
    // Appear while the router is cut off.
    for (const auto* name : { "v3", "v3", "v3" })
        site.addUpstream(name);
    for (int round = 0; round < 5; ++round) {
        site.killRouter(static_cast<std::size_t>(round % 3));
        site.run(milliseconds(700));
        site.restartRouter(static_cast<std::size_t>(round % 3));
        site.run(milliseconds(700));
    }
    isCut = false;
    site.run(seconds(5));
    CHECK(site.joinedStreams() == 0);
    checkRefusedAtOnce(site);
}

TEST_CASE("an upstream that starts again under its id with another version gets no streams of the version before", "[resumption][slow]")
{
    const auto routers = GENERATE(smallFleet, largeFleet);
    CAPTURE(routers);
    resumption_fixture site(fleetOf(routers), versions(routers == smallFleet ? 4 : 12, { "v1", "v2" }));
    site.run(seconds(5));
    // Half of the routers know only the records from before.
    bool isStoreCut = true;
    site.fleet.isStoreCut = [&](std::size_t router) { return isStoreCut && router % 2 == 0; };
    for (int round = 0; round < 3; ++round) {
        for (const auto* version : { "v1", "v2" }) {
            const auto upstream = site.upstreamsOf(version).front();
            site.crash(upstream);
            site.run(milliseconds(150));
            site.restart(upstream, version == std::string("v1") ? "v2" : "v1", true);
            site.restartRouter(static_cast<std::size_t>(round * 2 + 1) % routers);
            site.run(milliseconds(400));
        }
    }
    isStoreCut = false;
    site.run(seconds(1));
    CHECK(site.checkedAttempts > 0);
    // Streams that begin at an upstream whose new record has not been read are told from others only when it has been.
    CHECK(site.joinedStreams() <= 2);
    checkRefusedAtOnce(site);
}

TEST_CASE("a router that is out of step while upstreams of a new version join lets no stream go on at another one", "[resumption][slow]")
{
    enum class trouble { cut_from_all,
        cut_from_others,
        cut_from_store,
        standing_still };
    const auto kind = GENERATE(trouble::cut_from_all, trouble::cut_from_others, trouble::cut_from_store, trouble::standing_still);
    const auto outOfStepFor = GENERATE(milliseconds(900), milliseconds(3000), milliseconds(6000));
    CAPTURE(static_cast<int>(kind), outOfStepFor.count());
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        auto options = fleetOf(smallFleet, seed);
        options.dataCentres = 1 + seed % 2;
        resumption_fixture site(options, versions(4, { "v1" }));
        site.run(seconds(26));
        constexpr std::size_t odd = 3;
        bool isOut = true;
        const auto isCut = [&](bool fromIt) { return isOut && fromIt; };
        if (kind == trouble::cut_from_all || kind == trouble::cut_from_others)
            site.fleet.net.isCut = [&](const std::string& from, const std::string& to) { return isCut((from == site.fleet.address(odd)) != (to == site.fleet.address(odd))); };
        if (kind == trouble::cut_from_all || kind == trouble::cut_from_store)
            site.fleet.isStoreCut = [&](std::size_t router) { return isCut(router == odd); };
        site.fleet.setSuspended(odd, kind == trouble::standing_still);
        for (int number = 0; number < 4; ++number)
            site.addUpstream("v2");
        // Half of the callers come to that router.
        site.drawRouter = [&](std::mt19937_64& random) { return random() % 2 == 0 ? odd : random() % smallFleet; };
        for (auto left = outOfStepFor; left > milliseconds(0); left -= milliseconds(300)) {
            site.run(milliseconds(300));
            site.lose(site.upstreamsOf("v2").front());
            site.addUpstream("v2");
        }
        isOut = false;
        site.fleet.setSuspended(odd, false);
        if (kind == trouble::standing_still && outOfStepFor >= seconds(1))
            site.fleet.post(odd, process_stalled { outOfStepFor });
        for (int round = 0; round < 4; ++round) {
            site.lose(site.upstreamsOf("v2").front());
            site.addUpstream("v2");
            site.run(milliseconds(500));
        }
        CHECK(site.joinedStreams() == 0);
    }
}

TEST_CASE("upstreams that start again under their ids with another version while the store is silent get no streams of the version before", "[resumption][slow]")
{
    using names_of_versions = std::vector<std::string>;
    const auto [routers, names] = GENERATE(std::pair(smallFleet, names_of_versions { "v1" }), std::pair(smallFleet, names_of_versions { "v1", "v3" }), std::pair(largeFleet, names_of_versions { "v1" }));
    CAPTURE(routers, names.size());
    for (unsigned seed = 1; seed <= (routers == smallFleet ? 10U : 1U); ++seed) {
        CAPTURE(seed);
        resumption_fixture site(fleetOf(routers, seed), versions(6, names));
        site.run(seconds(26));
        bool isSilent = true;
        site.fleet.isStoreCut = [&](std::size_t) { return isSilent; };
        const auto before = site.upstreamsOf("v1");
        for (std::size_t number = 0; number < 2; ++number) {
            site.crash(before[number]);
            site.run(milliseconds(200));
            site.restart(before[number], "v2", false);
            site.run(milliseconds(700));
            site.crash(before[number + 2]);
            site.run(milliseconds(500));
        }
        isSilent = false;
        site.run(seconds(1));
        CHECK(site.joinedStreams() <= 2);
    }
}

// Guards against a stream that begins at a process which is not that of the record, and goes on at the version of the record.
TEST_CASE("streams that begin at upstreams which have started again unnoticed while the store is silent are not joined", "[resumption]")
{
    const auto names = GENERATE(std::vector<std::string> { "v1" }, std::vector<std::string> { "v1", "v3" });
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(names.size(), seed);
        resumption_fixture site(fleetOf(smallFleet, seed), versions(6, names));
        site.run(seconds(26));
        bool isSilent = true;
        site.fleet.isStoreCut = [&](std::size_t) { return isSilent; };
        site.stopNewStreams();
        site.run(seconds(2));
        const auto before = site.upstreamsOf("v1");
        for (std::size_t number = 0; number < 3; ++number)
            site.restart(before[number], "v2", false);
        site.resumeNewStreams();
        site.run(milliseconds(1200));
        for (std::size_t number = 0; number < 3; ++number)
            site.crash(before[number]);
        site.run(milliseconds(800));
        isSilent = false;
        site.run(seconds(2));
        CHECK(site.joinedStreams() <= 2);
    }
}

TEST_CASE("a version with two upstreams left goes on with its streams, and one with none left refuses them for good", "[resumption]")
{
    resumption_fixture site(fleetOf(smallFleet), versions(4, { "v1", "v2" }));
    site.run(seconds(6));
    site.drain(site.upstreamsOf("v1")[0]);
    site.drain(site.upstreamsOf("v1")[1]);
    site.run(milliseconds(300));
    auto from = site.fleet.now();
    restartInTurn(site, 4);
    CHECK(site.joinedStreams() == 0);
    checkShares(site, from, 20);
    CHECK(site.tallySince(from).wentOnShare() >= 0.9);

    while (!site.upstreamsOf("v1").empty()) {
        site.lose(site.upstreamsOf("v1").front());
        site.run(milliseconds(30));
    }
    site.run(seconds(1));
    CHECK(site.joinedStreams() == 0);
    CHECK(refusalsWith(site, error_code::stream_not_resumable) >= 1);
    checkRefusedAtOnce(site);
}

TEST_CASE("streams go on with and without limits of their upstreams at least half as often as new ones begin", "[resumption]")
{
    const bool isLimited = GENERATE(true, false);
    CAPTURE(isLimited);
    auto options = fleetOf(smallFleet);
    options.streamInterval = milliseconds(60);
    resumption_fixture site(options, versions(3, { "v1", "v2" }));
    site.run(seconds(6));
    if (isLimited)
        site.changeAnswer = [](const std::string&, upstream_answer& answer) { answer.rateLimit = 2.0; };
    site.run(seconds(4));
    const auto from = site.fleet.now();
    for (int round = 0; round < 6; ++round) {
        const auto* version = round % 2 == 0 ? "v1" : "v2";
        site.lose(site.upstreamsOf(version).front());
        site.addUpstream(version);
        site.killRouter(static_cast<std::size_t>(round) % smallFleet);
        site.run(milliseconds(500));
        site.restartRouter(static_cast<std::size_t>(round) % smallFleet);
        site.run(milliseconds(1500));
    }
    CHECK(site.joinedStreams() == 0);
    checkShares(site, from, 12);
}

TEST_CASE("a release that replaces a version while routers restart joins no streams", "[resumption][slow]")
{
    const auto routers = GENERATE(smallFleet, largeFleet);
    CAPTURE(routers);
    const std::size_t upstreams = routers == smallFleet ? 8 : 24;
    resumption_fixture site(fleetOf(routers), versions(upstreams, { "v1" }));
    site.run(seconds(5));
    const auto from = site.fleet.now();
    for (std::size_t round = 0; round < upstreams; ++round) {
        site.addUpstream("v2");
        site.drain(site.upstreamsOf("v1").front());
        site.run(milliseconds(100));
        site.lose(site.upstreamsOf("v1").front());
        for (std::size_t number = 0; number < routers / smallFleet / 4 + 1; ++number)
            site.restartRouter((round * 37 + number) % routers);
        site.run(milliseconds(routers == smallFleet ? 300 : 60));
    }
    site.run(seconds(2));
    CHECK(site.joinedStreams() == 0);
    CHECK(site.tallySince(from).takenUp >= 10);
    checkRefusedAtOnce(site);
}

TEST_CASE("messages of streams between routers", "[.][measure]")
{
    for (const auto routers : { smallFleet, largeFleet }) {
        for (const auto& names : { std::vector<std::string> { "v1" }, std::vector<std::string> { "v1", "v2" } }) {
            // A large fleet takes too long to know that a version is alone.
            if (routers == largeFleet && names.size() == 1)
                continue;
            resumption_fixture site(fleetOf(routers), versions(12 / names.size(), names));
            // Only longer than any stream lives is a single version known to be alone.
            site.run(names.size() == 1 ? seconds(26) : seconds(5));
            const auto from = site.fleet.now();
            const auto messages = site.fleet.streamMessages;
            site.run(seconds(3));
            const auto begun = site.tallySince(from).begun;
            std::cout << "routers=" << routers << " versions=" << names.size() << " streams=" << begun << " messages=" << site.fleet.streamMessages - messages << '\n';
        }
    }
}
