#include "drivers/cbor/digest_codec.h"
#include "drivers/cbor/stream_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;

namespace {

constexpr std::uint64_t largeId = 0xfedcba9876543210;

std::vector<stream_message> samples()
{
    return { save_origin { { largeId, 7, std::chrono::milliseconds(12000) }, true },
        origin_query { 5, largeId, "llm", "10.0.0.1", false },
        origin_answer { 5, largeId, std::nullopt },
        origin_answer { 6, std::nullopt, 9 },
        dropped_connection {} };
}

} // namespace

TEST_CASE("messages about streams are decoded as they were encoded, in a few bytes", "[cbor]")
{
    for (const auto& message : samples()) {
        const auto bytes = encodeStreamMessage(message);
        CHECK(isStreamMessage(bytes));
        CHECK(bytes.size() <= 48);
        const auto decoded = decodeStreamMessage(bytes);
        REQUIRE(errorOf(decoded) == nullptr);
        CHECK(valueOf(decoded) == message);
    }
}

TEST_CASE("a digest is no message about a stream, and the reverse", "[cbor]")
{
    CHECK_FALSE(isStreamMessage(encodeDigest({})));
    for (const auto& message : samples())
        CHECK(errorOf(decodeDigest(encodeStreamMessage(message))) != nullptr);
}

TEST_CASE("messages about streams that are cut short or of other types are errors", "[cbor]")
{
    CHECK_FALSE(isStreamMessage(""));
    for (const auto& message : samples()) {
        const auto bytes = encodeStreamMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK(errorOf(decodeStreamMessage(bytes.substr(0, size))) != nullptr);
        CHECK(errorOf(decodeStreamMessage(bytes + "x")) != nullptr);
    }
    // A list of one number, and one whose second element is a text.
    CHECK(errorOf(decodeStreamMessage(std::string("\x81\x19\x03\xe9", 4))) != nullptr);
    CHECK(errorOf(decodeStreamMessage(std::string("\x85\x19\x03\xe9\x61x\x01\x02\xf4", 9))) != nullptr);
}
