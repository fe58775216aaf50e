#include "drivers/cbor/digest_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("an encoded digest decodes to equal values", "[peers]")
{
    router_digest digest;
    digest.instance = "entry-1";
    digest.incarnation = 0xfedcba9876543210;
    digest.sequence = 7;
    digest.configRevision = 41;
    digest.configAge = std::chrono::milliseconds(120);
    digest.upstreamRevision = 40;
    digest.members = { "10.0.0.1", "10.0.0.2" };
    digest.loads = { { 5, 1, 2, 3000 }, { 0xffffffff, 4, 0, 0 } };
    digest.parts = { { 5, 0xabcdef0123456789, 13300 } };
    digest.suspects = { { 99, 2 } };
    const auto decoded = decodeDigest(encodeDigest(digest));
    REQUIRE(errorOf(decoded) == nullptr);
    const auto& read = valueOf(decoded);
    CHECK(read.instance == digest.instance);
    CHECK(read.incarnation == digest.incarnation);
    CHECK(read.configAge == digest.configAge);
    CHECK(read.members == digest.members);
    REQUIRE(read.loads.size() == 2);
    CHECK(read.loads[1].upstream == 0xffffffff);
    CHECK(read.loads[0].uncachedPromptTokens == 3000);
    REQUIRE(read.parts.size() == 1);
    CHECK(read.parts[0].part == 0xabcdef0123456789);
    CHECK(read.suspects == digest.suspects);
}

TEST_CASE("garbage, truncated digests and other versions do not decode", "[peers]")
{
    CHECK(errorOf(decodeDigest("")) != nullptr);
    CHECK(errorOf(decodeDigest("hello")) != nullptr);
    auto bytes = encodeDigest({});
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK(errorOf(decodeDigest(bytes.substr(0, cut))) != nullptr);
    bytes[1] = 2;
    CHECK(errorOf(decodeDigest(bytes)) != nullptr);
}
