#include "platform/answer_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::platform;

namespace {

upstream_answer decode(int status, http_headers headers)
{
    http_answer_head head;
    head.status = status;
    head.headers = std::move(headers);
    return decodeAnswer(std::move(head));
}

} // namespace

TEST_CASE("an upstream's statement that it is leaving is read from answers of any status and not forwarded", "[platform]")
{
    for (const int status : { 200, 404, 421, 500, 503 }) {
        const auto answer = decode(status, { { "server-leaving", "1" }, { "Content-Type", "text/plain" } });
        CHECK(answer.leaving);
        CHECK(findHeader(answer.head.headers, "Server-Leaving") == nullptr);
        CHECK(findHeader(answer.head.headers, "Content-Type") != nullptr);
    }
    CHECK_FALSE(decode(200, {}).leaving);
    CHECK_FALSE(decode(200, { { "Server-Leaving", "0" } }).leaving);
}

TEST_CASE("the pause that a busy upstream asks for is read with fractions and bounded", "[platform]")
{
    using std::chrono::milliseconds;
    CHECK(decode(503, { { "Retry-After", "2" } }).retryAfter == milliseconds(2000));
    CHECK(decode(503, { { "retry-after", "0.25" } }).retryAfter == milliseconds(250));
    CHECK(decode(503, { { "Retry-After", "1000000" } }).retryAfter == std::chrono::seconds(300));
    CHECK_FALSE(decode(503, {}).retryAfter.has_value());
    CHECK_FALSE(decode(429, { { "Retry-After", "2" } }).retryAfter.has_value());
}

TEST_CASE("a pause that can't be read is reported and has no effect", "[platform]")
{
    for (const auto* text : { "-1", "nan", "inf", "2s", " 2", "1e3", "Fri, 04 Dec 2026 08:00:00 GMT" }) {
        const auto answer = decode(503, { { "Retry-After", text } });
        CHECK_FALSE(answer.retryAfter.has_value());
        CHECK(answer.invalidRetryAfter == text);
    }
}

TEST_CASE("the limit that an upstream names is read from answers of any status and not forwarded", "[platform][rate-limit]")
{
    for (const int status : { 200, 429, 500, 503 }) {
        const auto answer = decode(status, { { "server-limit", "2.5" }, { "Content-Type", "text/plain" } });
        REQUIRE(answer.rateLimit.has_value());
        CHECK(valueOf(*answer.rateLimit) == 2.5);
        CHECK(findHeader(answer.head.headers, "Server-Limit") == nullptr);
        CHECK(findHeader(answer.head.headers, "Content-Type") != nullptr);
    }
    for (const auto& [text, requestsPerSecond] : std::vector<std::pair<std::string, double>> { { "0.125", 0.125 }, { "0", 0 }, { "370", 370 }, { "1.0", 1 } })
        CHECK(valueOf(*decode(200, { { "Server-Limit", text } }).rateLimit) == requestsPerSecond);
    CHECK_FALSE(decode(200, {}).rateLimit.has_value());
}

TEST_CASE("a limit that can't be read is an error and not forwarded", "[platform][rate-limit]")
{
    for (const auto* text : { "", "-1", "nan", "inf", "1/s", " 2", "1e3", "1,5", "many" }) {
        CAPTURE(text);
        const auto answer = decode(200, { { "Server-Limit", text } });
        REQUIRE(answer.rateLimit.has_value());
        CHECK(errorOf(*answer.rateLimit) != nullptr);
        CHECK(findHeader(answer.head.headers, "Server-Limit") == nullptr);
    }
}

TEST_CASE("that an answer ends with its connection is kept, although the caller's connection stays open", "[platform]")
{
    http_answer_head head;
    head.status = 200;
    head.keepAlive = false;
    head.endsWithConnection = true;
    const auto answer = decodeAnswer(std::move(head));
    CHECK(answer.head.keepAlive);
    CHECK(answer.head.endsWithConnection);
}
