#include "servers/explain/request_timeline.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

std::vector<log_line> parseAll(const std::vector<std::string>& texts, const std::string& source = "a.log")
{
    std::vector<log_line> lines;
    for (const auto& text : texts) {
        if (const auto line = parseLogLine(text, source))
            lines.push_back(*line);
    }
    return lines;
}

const std::string stamp = "time=2026-01-31T23:59:5";

} // namespace

TEST_CASE("a log line with escaped quotes is parsed into its fields", "[explain]")
{
    const auto line = parseLogLine(stamp + R"(9.500Z level=warning event=send_failed request=r1 reason="said \"no\" twice" after_ms=6)", "a.log");
    REQUIRE(line);
    CHECK(line->event == "send_failed");
    CHECK(line->source == "a.log");
    CHECK(*line->find("reason") == "said \"no\" twice");
    CHECK(*line->find("after_ms") == "6");
    CHECK_FALSE(line->find("status"));
}

TEST_CASE("the last word before the time is the source of a log line", "[explain]")
{
    CHECK(parseLogLine("  13.55 router-7 " + stamp + "9.500Z event=x", "a.log")->source == "router-7");
}

TEST_CASE("a line without a valid time or an event is not parsed, and a cut value is read to its end", "[explain]")
{
    CHECK_FALSE(parseLogLine("", "a.log"));
    CHECK_FALSE(parseLogLine("no time at all", "a.log"));
    CHECK_FALSE(parseLogLine("time=2026-13-01T00:00:00.000Z event=x", "a.log"));
    CHECK_FALSE(parseLogLine("time=2026-01-", "a.log"));
    CHECK_FALSE(parseLogLine(stamp + "9.500Z level=info", "a.log"));
    CHECK(parseLogLine(stamp + "9.500Z event=x reason=\"cut", "a.log")->fields.back().second == "cut");
}

TEST_CASE("a timeline contains the lines of the request, its upstream and its process in order of time", "[explain]")
{
    auto lines = parseAll({ stamp + "9.000Z event=request_sent request=r1 upstream=w1",
        stamp + "9.300Z event=request_refused request=r1 status=502 ran=unknown reason=\"no whole answer\"",
        stamp + "9.301Z event=request_finished request=r1 outcome=failed ms=301",
        stamp + "9.200Z event=send_failed request=r1 upstream=w1 reason=reset",
        stamp + "9.000Z event=request_sent request=r2 upstream=w1",
        stamp + "8.000Z event=store_lost reason=timeout",
        stamp + "1.000Z event=store_lost reason=long_before" });
    const auto others = parseAll({ stamp + "9.250Z event=upstream_avoided upstream=w1", stamp + "9.250Z event=upstream_avoided upstream=w2", stamp + "8.500Z event=store_lost" }, "b.log");
    lines.insert(lines.end(), others.begin(), others.end());
    const auto timeline = buildRequestTimeline("r1", lines);
    std::vector<std::string> events;
    for (const auto& line : timeline.lines)
        events.push_back(line.event);
    CHECK(events == std::vector<std::string> { "store_lost", "request_sent", "send_failed", "upstream_avoided", "request_refused", "request_finished" });
    CHECK(timeline.outcome == "refused with 502, ran: unknown, because: no whole answer; the last attempt failed: reset");
    CHECK(timeline.missing.empty());
}

TEST_CASE("a timeline lists what the logs lack", "[explain]")
{
    const auto lines = parseAll({ stamp + "9.000Z event=request_sent request=r1 upstream=w1", stamp + "9.100Z event=log_lines_dropped count=12" });
    const auto timeline = buildRequestTimeline("r1", lines);
    CHECK(timeline.outcome == "unknown");
    REQUIRE(timeline.missing.size() == 2);
    CHECK(timeline.missing[1] == "12 log lines that a.log dropped");
    CHECK_FALSE(buildRequestTimeline("r9", lines).found());
}
