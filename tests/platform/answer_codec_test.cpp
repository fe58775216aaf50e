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
