#include "drivers/json/peer_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

TEST_CASE("an encoded offer decodes to equal fields")
{
    offer request;
    request.from = { "entry-a", "tcp://e", ~0ULL };
    request.attempt = { "r1", 2 };
    request.timeLeft = 1500ms;
    request.repeatable = false;
    request.job.kind = service_kind::plain;
    request.job.body = std::string("\0\xff{", 3);
    const auto decoded = decodePeerMessage(encodePeerMessage(request));
    REQUIRE(errorOf(decoded) == nullptr);
    const auto& copy = std::get<offer>(valueOf(decoded));
    CHECK(copy.from.incarnation == request.from.incarnation);
    CHECK(copy.attempt == request.attempt);
    CHECK(copy.timeLeft == request.timeLeft);
    CHECK_FALSE(copy.repeatable);
    CHECK(copy.job.kind == service_kind::plain);
    CHECK(copy.job.body == request.job.body);
}

TEST_CASE("an encoded report decodes to equal tiers")
{
    report message;
    message.tiers = { { 0, 1, 2, 300 }, { 3, 4, 5, 600 } };
    message.tokensPerSecond = 31.5;
    const auto decoded = decodePeerMessage(encodePeerMessage(message));
    const auto& copy = std::get<report>(valueOf(decoded));
    REQUIRE(copy.tiers.size() == 2);
    CHECK(copy.tiers[1].expectedTokens == 600);
    CHECK(copy.tokensPerSecond == 31.5);
}

TEST_CASE("truncated messages, other protocols and unknown types are errors")
{
    const auto valid = encodePeerMessage(acknowledge { { "r1", 1 }, 7 });
    for (std::size_t length = 0; length < valid.size(); ++length)
        CHECK(errorOf(decodePeerMessage(valid.substr(0, length))) != nullptr);
    CHECK(errorOf(decodePeerMessage("GET / HTTP/1.1")) != nullptr);
    // An array of the unknown type 23 and an empty map.
    CHECK(errorOf(decodePeerMessage("\x82\x17\xa0")) != nullptr);
}

TEST_CASE("fields with default values are omitted from the encoding and restored by decoding")
{
    report message;
    message.from = { "kasa-12", "tcp://10.20.30.40:19000", 0x1234567890abcdefULL };
    message.service = "kasa";
    message.dataCentre = "east-legon";
    message.generation = 1700;
    message.slots = 64;
    message.tokensPerSecond = 38.461538461538;
    message.tiers = { { 0, 3, 0, 300 }, { 1, 20, 2, 4000 }, { 2, 30, 11, 20000 }, { 3, 11, 90, 60000 } };
    const auto bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    const auto& copy = std::get<report>(valueOf(decoded));
    CHECK(copy.healthy);
    CHECK_FALSE(copy.leaving);
    CHECK(copy.tiers[0].queued == 0);
    CHECK(copy.tiers[3].queued == 90);
    INFO("report " << bytes.size());
    CHECK(bytes.size() <= 200);
    const subscribe subscription { { "entry-12", "tcp://10.20.30.41:19000", 0x1234567890abcdefULL }, 1700, 0, 1000ms };
    INFO("subscribe " << encodePeerMessage(subscription).size());
    CHECK(encodePeerMessage(subscription).size() <= 128);
}
