#include "drivers/cbor/digest_codec.h"
#include "drivers/cbor/stream_codec.h"
#include "drivers/json/peer_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("an encoded digest decodes to equal values", "[peers]")
{
    router_digest digest;
    digest.instance = "entry-1";
    digest.incarnation = 0xfedcba9876543210;
    digest.sequence = 7;
    digest.storeEra = 3;
    digest.configPosition = { 3, 41 };
    digest.configAge = std::chrono::milliseconds(120);
    digest.recordsAge = std::chrono::milliseconds(340);
    digest.configVersion = 12;
    digest.upstreamPosition = { 2, 40 };
    digest.scope = digest_scope::data_centre;
    digest.dataCentre = "dc-a";
    digest.routers = 31;
    digest.relayed = true;
    digest.slice = { 1, 3 };
    digest.members = { { "10.0.0.1", "dc-a" }, { "10.0.0.2", "dc-b" } };
    digest.loads = { { 5, 1, 2, 3000 }, { 0xffffffff, 4, 0, 0 } };
    digest.cachedParts = { { 5, 0xabcdef0123456789, 13300 } };
    const crash_suspect part { suspect_kind::prompt_part, 0xabcdef0123456789 };
    const crash_suspect request { suspect_kind::request, 99 };
    digest.crashNews.crashes = { { part, 5, 77, 3, std::chrono::milliseconds(1500) }, { request, 0xffffffff, 0xfffffffe, 0, std::chrono::milliseconds(0) } };
    digest.crashNews.answered = { { request, std::chrono::milliseconds(40) } };
    digest.crashNews.refused = { { part, std::chrono::milliseconds(599000) } };
    digest.soleVersions = { { 0xfedcba9876543210, std::chrono::milliseconds(24000) } };
    digest.limits = { { 5, 1765000000000, 0.25, std::chrono::milliseconds(70) }, { 0xffffffff, 0, std::nullopt, std::chrono::milliseconds(0) } };
    digest.leavingUpstreams = { { "llm-1", 1765000000000 } };
    const auto decoded = decodeDigest(encodeDigest(digest));
    REQUIRE(errorOf(decoded) == nullptr);
    const auto& decodedDigest = valueOf(decoded);
    CHECK(decodedDigest.instance == digest.instance);
    CHECK(decodedDigest.incarnation == digest.incarnation);
    CHECK(decodedDigest.storeEra == digest.storeEra);
    CHECK(decodedDigest.configPosition == digest.configPosition);
    CHECK(decodedDigest.configVersion == digest.configVersion);
    CHECK(decodedDigest.upstreamPosition == digest.upstreamPosition);
    CHECK(decodedDigest.configAge == digest.configAge);
    CHECK(decodedDigest.recordsAge == digest.recordsAge);
    CHECK(decodedDigest.scope == digest.scope);
    CHECK(decodedDigest.dataCentre == digest.dataCentre);
    CHECK(decodedDigest.routers == digest.routers);
    CHECK(decodedDigest.relayed);
    CHECK(decodedDigest.slice == digest.slice);
    CHECK(decodedDigest.members == digest.members);
    REQUIRE(decodedDigest.loads.size() == 2);
    CHECK(decodedDigest.loads[1].upstream == 0xffffffff);
    CHECK(decodedDigest.loads[0].uncachedPromptTokens == 3000);
    REQUIRE(decodedDigest.cachedParts.size() == 1);
    CHECK(decodedDigest.cachedParts[0].part == 0xabcdef0123456789);
    REQUIRE(decodedDigest.crashNews.crashes.size() == 2);
    CHECK(decodedDigest.crashNews.crashes[0].suspect == part);
    CHECK(decodedDigest.crashNews.crashes[0].upstream == 5);
    CHECK(decodedDigest.crashNews.crashes[0].position == 3);
    CHECK(decodedDigest.crashNews.crashes[0].age == std::chrono::milliseconds(1500));
    CHECK(decodedDigest.crashNews.crashes[1].suspect == request);
    CHECK(decodedDigest.crashNews.crashes[1].request == 0xfffffffe);
    REQUIRE(decodedDigest.crashNews.answered.size() == 1);
    CHECK(decodedDigest.crashNews.answered[0].suspect == request);
    REQUIRE(decodedDigest.crashNews.refused.size() == 1);
    CHECK(decodedDigest.crashNews.refused[0].suspect == part);
    CHECK(decodedDigest.crashNews.refused[0].age == std::chrono::milliseconds(599000));
    CHECK(decodedDigest.limits == digest.limits);
    CHECK(decodedDigest.soleVersions == digest.soleVersions);
    CHECK(decodedDigest.leavingUpstreams == digest.leavingUpstreams);
}

TEST_CASE("garbage, truncated digests and other versions do not decode", "[peers]")
{
    CHECK(errorOf(decodeDigest("")) != nullptr);
    CHECK(errorOf(decodeDigest("hello")) != nullptr);
    auto bytes = encodeDigest({});
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(errorOf(decodeDigest(bytes.substr(0, length))) != nullptr);
    bytes[1] = 2;
    CHECK(errorOf(decodeDigest(bytes)) != nullptr);
}

TEST_CASE("a datagram that is nested deeply is refused", "[peers]")
{
    // Arrays, maps, chunked strings and tags.
    for (const char opening : { '\x81', '\x9f', '\xa1', '\xbf', '\x5f', '\x7f', '\xc1' }) {
        for (const std::size_t depth : { 10, 1000, 65'000 }) {
            const std::string nested(depth, opening);
            CHECK(std::holds_alternative<error>(decodeDigest(nested)));
            CHECK(std::holds_alternative<error>(decodeStreamMessage(nested)));
            CHECK(std::holds_alternative<error>(decodePeerMessage(nested)));
        }
    }
}
