#include "servers/router/crash_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::router;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const crash_suspect request { suspect_kind::request, 1 };
const crash_suspect part { suspect_kind::prompt_part, 2 };
const crash_suspect otherPart { suspect_kind::prompt_part, 3 };
const auto start = instant() + hours(1);

// Reports crashes, each of another upstream.
class crash_reports {
public:
    explicit crash_reports(crash_tracker& tracker)
        : m_tracker(tracker)
    {
    }

    // An upstream crashes with a new request that has these parts.
    void crash(const std::vector<crash_suspect>& suspects, instant at, news_origin origin = news_origin::own)
    {
        ++m_number;
        crashWith(m_number, suspects, at, origin);
    }

    // The same, with a request that may have been there before.
    void crashWith(std::uint32_t requestHash, const std::vector<crash_suspect>& suspects, instant at, news_origin origin = news_origin::own)
    {
        ++m_upstream;
        int position = 0;
        for (const auto& suspect : suspects)
            m_tracker.recordCrash({ suspect, m_upstream, requestHash, position++, milliseconds(0) }, origin, at);
    }

private:
    crash_tracker& m_tracker;
    std::uint32_t m_upstream = 0;
    std::uint32_t m_number = 1000;
};

// After this time a router has heard of a crash from all others.
constexpr auto settlingTime = milliseconds(500);

// Whether the suspect is refused a settling time after the given time.
bool isRefused(crash_tracker& tracker, const crash_suspect& suspect, instant time)
{
    tracker.judgeSettled(time + settlingTime);
    return tracker.refusedFor(suspect, time + settlingTime).has_value();
}

} // namespace

TEST_CASE("a prompt part is refused after three crashes with different requests", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    reports.crash({ part }, start);
    reports.crash({ part }, start + seconds(1));
    CHECK_FALSE(isRefused(tracker, part, start + seconds(1)));
    reports.crash({ part }, start + seconds(2));
    tracker.judgeSettled(start + seconds(2));
    CHECK_FALSE(tracker.refusedFor(part, start + seconds(2)));
    CHECK(isRefused(tracker, part, start + seconds(2)));
    REQUIRE(tracker.takeNewRefusals().size() == 1);
    CHECK(tracker.takeNewRefusals().empty());
}

TEST_CASE("the retries of one request count once for its prompt parts, but each for the request", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 3; ++number)
        reports.crashWith(9, { request, part }, start + seconds(number));
    CHECK(isRefused(tracker, request, start + seconds(2)));
    CHECK_FALSE(isRefused(tracker, part, start + seconds(2)));
}

TEST_CASE("upstreams that crash at one moment count as one crash for what was answered before", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    tracker.recordAnswer({ request, part }, start - seconds(1), news_origin::own, start - seconds(1));
    for (int number = 0; number < 20; ++number)
        reports.crash({ request, part }, start + milliseconds(number));
    CHECK_FALSE(isRefused(tracker, request, start + seconds(1)));
    CHECK_FALSE(isRefused(tracker, part, start + seconds(1)));
}

TEST_CASE("upstreams that crash at one moment count as one crash for a request that was at less than half of them", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 10; ++number) {
        reports.crash({ request }, start + milliseconds(number));
        reports.crash({ otherPart }, start + milliseconds(number));
        reports.crash({ otherPart }, start + milliseconds(number));
    }
    CHECK_FALSE(isRefused(tracker, request, start + seconds(1)));
}

TEST_CASE("upstreams that crash at one moment count as one crash for a prompt part while few answers are known", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 20; ++number)
        reports.crash({ part }, start + milliseconds(number));
    CHECK_FALSE(isRefused(tracker, part, start + seconds(1)));
}

TEST_CASE("each upstream that crashes at one moment counts against a request that was never answered", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    reports.crashWith(9, { request }, start);
    reports.crashWith(9, { request }, start + milliseconds(1));
    CHECK(tracker.crashCount(request) == 2);
    CHECK_FALSE(isRefused(tracker, request, start + seconds(1)));
    reports.crashWith(9, { request }, start + milliseconds(2));
    CHECK(isRefused(tracker, request, start + seconds(1)));
}

TEST_CASE("an answer to a request with the part discards the crashes before it", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    reports.crash({ part }, start);
    reports.crash({ part }, start + seconds(1));
    tracker.recordAnswer({ part }, start + milliseconds(1500), news_origin::own, start + milliseconds(1500));
    reports.crash({ part }, start + seconds(2));
    CHECK(tracker.crashCount(part) == 1);
    CHECK_FALSE(isRefused(tracker, part, start + seconds(2)));
    // A stream that began before the crash says nothing about requests that begin after it.
    tracker.recordAnswer({ part }, start + milliseconds(1900), news_origin::own, start + milliseconds(1900));
    CHECK(tracker.crashCount(part) == 1);
}

TEST_CASE("crashes that a refused part explains don't count against the parts beside it", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    reports.crash({ otherPart }, start);
    for (int number = 1; number <= 2; ++number)
        reports.crash({ otherPart, part }, start + seconds(number));
    tracker.recordAnswer({ otherPart }, start + milliseconds(1500), news_origin::own, start + milliseconds(1500));
    reports.crash({ otherPart, part }, start + seconds(3));
    REQUIRE(isRefused(tracker, part, start + seconds(3)));
    CHECK(tracker.crashCount(otherPart) == 0);
    for (int number = 4; number <= 8; ++number)
        reports.crash({ otherPart, part }, start + seconds(number));
    CHECK_FALSE(isRefused(tracker, otherPart, start + seconds(8)));
}

TEST_CASE("of two parts that are in the same crashes the deeper one is refused, which fewer requests share", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 3; ++number)
        reports.crash({ otherPart, part }, start + seconds(number));
    CHECK(isRefused(tracker, part, start + seconds(2)));
    CHECK_FALSE(isRefused(tracker, otherPart, start + seconds(2)));
    for (int number = 3; number < 9; ++number)
        reports.crash({ otherPart, part }, start + seconds(number));
    CHECK_FALSE(isRefused(tracker, otherPart, start + seconds(9)));
}

TEST_CASE("a part at more crashes than a deeper one is not refused before it", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    // Nobody has noticed the deeper part at the second crash.
    reports.crash({ otherPart, part }, start);
    reports.crash({ otherPart }, start + seconds(1));
    reports.crash({ otherPart, part }, start + seconds(2));
    reports.crash({ otherPart, part }, start + seconds(3));
    CHECK(isRefused(tracker, part, start + seconds(3)));
    CHECK_FALSE(isRefused(tracker, otherPart, start + seconds(3)));
}

TEST_CASE("of two parts at the same position in all crashes neither is refused until an answer clears one, or after five", "[crash-tracker]")
{
    for (const bool isCleared : { true, false }) {
        CAPTURE(isCleared);
        crash_tracker tracker;
        for (std::uint32_t number = 0; number < 4; ++number) {
            for (const auto& suspect : { part, otherPart })
                tracker.recordCrash({ suspect, number, 100 + number, 0, milliseconds(0) }, news_origin::own, start + seconds(number));
        }
        CHECK_FALSE(isRefused(tracker, part, start + seconds(3)));
        CHECK_FALSE(isRefused(tracker, otherPart, start + seconds(3)));
        if (isCleared) {
            tracker.recordAnswer({ otherPart }, start + milliseconds(3100), news_origin::own, start + milliseconds(3100));
            CHECK(isRefused(tracker, part, start + milliseconds(3100)));
            CHECK_FALSE(isRefused(tracker, otherPart, start + milliseconds(3100)));
            continue;
        }
        for (const auto& suspect : { part, otherPart })
            tracker.recordCrash({ suspect, 50, 150, 0, milliseconds(0) }, news_origin::own, start + seconds(4));
        CHECK((isRefused(tracker, part, start + seconds(4)) || isRefused(tracker, otherPart, start + seconds(4))));
    }
}

TEST_CASE("a part that was beside a few of many crashes is not refused", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (std::uint64_t number = 0; number < 9; ++number) {
        const auto at = start + milliseconds(800 * number);
        reports.crash({ number % 3 == 0 ? part : crash_suspect { suspect_kind::prompt_part, 100 + number } }, at);
    }
    CHECK(tracker.crashCount(part) == 3);
    CHECK_FALSE(isRefused(tracker, part, start + seconds(9)));
}

TEST_CASE("two bad parts at the same time are both refused", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 10; ++number)
        reports.crash({ number % 2 == 0 ? part : otherPart }, start + milliseconds(500 * number));
    CHECK(isRefused(tracker, part, start + seconds(5)));
    CHECK(isRefused(tracker, otherPart, start + seconds(5)));
}

TEST_CASE("a refusal lasts ten minutes from the last crash, and one more crash renews it for an hour after", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    for (int number = 0; number < 4; ++number)
        reports.crash({ part }, start + seconds(number));
    const auto last = start + seconds(3);
    REQUIRE(isRefused(tracker, part, last));
    CHECK(tracker.refusedFor(part, last + minutes(4)) == duration(minutes(6)));
    CHECK_FALSE(isRefused(tracker, part, last + minutes(10)));
    tracker.takeNewRefusals();
    reports.crash({ part }, last + minutes(50));
    CHECK(isRefused(tracker, part, last + minutes(55)));
    CHECK(tracker.takeNewRefusals().size() == 1);
    reports.crash({ part }, last + hours(3));
    CHECK_FALSE(isRefused(tracker, part, last + hours(3)));
}

TEST_CASE("crashes are added up over routers, whoever reports one of them twice", "[crash-tracker]")
{
    crash_tracker first;
    crash_tracker second;
    crash_reports(first).crash({ part }, start);
    second.recordCrash({ part, 50, 60, 0, milliseconds(0) }, news_origin::own, start + seconds(1));
    second.recordCrash({ part, 51, 61, 0, milliseconds(0) }, news_origin::own, start + seconds(2));
    for (int round = 0; round < 5; ++round)
        second.learn(first.ownNews(18, start + seconds(2)), news_origin::own_data_centre, start + seconds(2));
    CHECK(second.crashCount(part) == 3);
    CHECK(isRefused(second, part, start + seconds(2)));
    first.learn(second.ownNews(18, start + seconds(2)), news_origin::own_data_centre, start + seconds(2));
    CHECK(isRefused(first, part, start + seconds(2)));
}

TEST_CASE("an answer at one router clears the part at the others, also after its refusal", "[crash-tracker]")
{
    crash_tracker first;
    crash_tracker second;
    crash_reports reports(first);
    for (int number = 0; number < 3; ++number)
        reports.crash({ part }, start + seconds(number));
    const auto now = start + seconds(3);
    REQUIRE(isRefused(first, part, now - settlingTime));
    second.learn(first.ownNews(18, now), news_origin::own_data_centre, now);
    REQUIRE(isRefused(second, part, now));
    second.recordAnswer({ part }, now, news_origin::own, now);
    CHECK_FALSE(isRefused(second, part, now));
    first.learn(second.ownNews(18, now), news_origin::own_data_centre, now);
    CHECK_FALSE(isRefused(first, part, now));
    // The refusal that a third router still reports does not return.
    crash_news stale;
    stale.refused.push_back({ part, milliseconds(1500) });
    second.learn(stale, news_origin::own_data_centre, now);
    CHECK_FALSE(isRefused(second, part, now));
}

TEST_CASE("routers that report a refusal to each other for ever don't prolong it", "[crash-tracker]")
{
    crash_tracker first;
    crash_tracker second;
    crash_reports reports(first);
    for (int number = 0; number < 3; ++number)
        reports.crash({ part }, start + seconds(number));
    const auto last = start + seconds(2);
    REQUIRE(isRefused(first, part, last));
    // Each report takes 50 ms on its way.
    for (auto now = last; now < last + minutes(12); now += milliseconds(200)) {
        second.learn(first.ownNews(18, now), news_origin::own_data_centre, now + milliseconds(50));
        first.learn(second.ownNews(18, now + milliseconds(50)), news_origin::own_data_centre, now + milliseconds(100));
    }
    REQUIRE(second.refusedFor(part, last + minutes(9)));
    CHECK_FALSE(isRefused(first, part, last + minutes(10) + seconds(1)));
    CHECK_FALSE(isRefused(second, part, last + minutes(10) + seconds(1)));
}

TEST_CASE("news go on to other data centres, but what came from there does not return", "[crash-tracker]")
{
    crash_tracker tracker;
    tracker.recordCrash({ part, 1, 1, 0, milliseconds(0) }, news_origin::own, start);
    tracker.recordCrash({ part, 2, 2, 0, milliseconds(0) }, news_origin::own_data_centre, start);
    tracker.recordCrash({ otherPart, 3, 3, 0, milliseconds(0) }, news_origin::other_data_centre, start);
    CHECK(tracker.ownNews(18, start).crashes.size() == 1);
    CHECK(tracker.dataCentreNews(18, start).crashes.size() == 2);
}

TEST_CASE("a long list of news is sent in turns", "[crash-tracker]")
{
    crash_tracker tracker;
    for (std::uint32_t number = 0; number < 50; ++number)
        tracker.recordCrash({ { suspect_kind::request, 100 + number }, 7, number, 0, milliseconds(0) }, news_origin::own, start);
    std::vector<std::uint64_t> sent;
    for (int round = 0; round < 3; ++round) {
        const auto news = tracker.ownNews(18, start);
        CHECK(news.size() <= 18);
        for (const auto& report : news.crashes)
            sent.push_back(report.suspect.id);
    }
    std::sort(sent.begin(), sent.end());
    CHECK(std::unique(sent.begin(), sent.end()) - sent.begin() == 50);
}

TEST_CASE("crashes of five minutes ago no longer count", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    reports.crash({ request }, start);
    reports.crash({ request }, start + seconds(1));
    reports.crash({ request }, start + minutes(6));
    CHECK_FALSE(isRefused(tracker, request, start + minutes(6)));
    CHECK(tracker.crashCount(request) == 1);
}

TEST_CASE("the number of suspects is bounded", "[crash-tracker]")
{
    crash_tracker tracker;
    for (std::uint32_t number = 0; number < 6000; ++number)
        tracker.recordCrash({ { suspect_kind::request, number }, number, number, 0, milliseconds(0) }, news_origin::own, start + milliseconds(number));
    CHECK(tracker.crashCount({ suspect_kind::request, 0 }) == 0);
    CHECK(tracker.crashCount({ suspect_kind::request, 5999 }) == 1);
}

TEST_CASE("a request that explains all crashes of a part is refused in its place", "[crash-tracker]")
{
    crash_tracker tracker;
    crash_reports reports(tracker);
    // The request is repeated with another last part each time.
    for (int number = 0; number < 6; ++number)
        reports.crash({ request, part }, start + seconds(number));
    CHECK(isRefused(tracker, request, start + seconds(6)));
    CHECK_FALSE(isRefused(tracker, part, start + seconds(6)));
    reports.crash({ part }, start + seconds(7));
    CHECK(isRefused(tracker, part, start + seconds(7)));
}
