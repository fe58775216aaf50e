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
