#include "drivers/json/claim_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("an encoded claim segment decodes to equal records; an answer that is not UTF-8 is marked as not whole")
{
    claim_segment segment { .writeId = "entry-a-3-1" };
    segment.records.push_back(claim_acquired { "osu/k1", "r1", 5, "dwumadie", { "entry-a", "tcp://e", 3 }, "r0" });
    segment.records.push_back(claim_finished { "osu/k1", "r1", { .status = 201, .contentType = "text/plain", .text = "ok\n" } });
    segment.records.push_back(claim_finished { "osu/k3", "r3", { .text = "\xff\xfe" } });
    segment.records.push_back(claim_released { "osu/k2", "r2" });
    const auto key = claimSegmentKey(3, 42);
    CHECK(key.starts_with(claimShardPrefix(3)));
    CHECK(claimSegmentKey(3, 9) < claimSegmentKey(3, 10));
    const auto decoded = decodeClaimSegment({ key, 7, encodeClaimSegment(segment) });
    REQUIRE_FALSE(errorOf(decoded));
    const auto& decodedSegment = valueOf(decoded);
    CHECK(decodedSegment.number == 42);
    CHECK(decodedSegment.version == 7);
    CHECK(decodedSegment.contents.writeId == "entry-a-3-1");
    REQUIRE(decodedSegment.contents.records.size() == 4);
    const auto& acquired = std::get<claim_acquired>(decodedSegment.contents.records[0]);
    CHECK(acquired.claimant.incarnation == 3);
    CHECK(acquired.replaces == "r0");
    const auto& finished = std::get<claim_finished>(decodedSegment.contents.records[1]);
    CHECK(finished.answer.status == 201);
    CHECK(finished.answer.whole);
    CHECK(finished.answer.text == "ok\n");
    CHECK_FALSE(std::get<claim_finished>(decodedSegment.contents.records[2]).answer.whole);
    CHECK(std::get<claim_released>(decodedSegment.contents.records[3]).requestId == "r2");
}

TEST_CASE("malformed claim segments are errors that name the object")
{
    for (const auto* text : { "", "[]", "{\"write_id\":\"x\"}", "{\"write_id\":\"x\",\"written_at_ms\":1,\"records\":[{}]}" }) {
        const auto decoded = decodeClaimSegment({ "claims/00/1", 1, text });
        REQUIRE(errorOf(decoded));
        CHECK(errorOf(decoded)->message.find("claims/00/1") != std::string::npos);
    }
    CHECK(errorOf(decodeClaimSegment({ "claims/00/x", 1, "{\"write_id\":\"x\",\"written_at_ms\":1,\"records\":[]}" })));
}
