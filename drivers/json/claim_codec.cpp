#include "drivers/json/claim_codec.h"

#include "core/overloaded.h"

#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace kumquat {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(peer_identity, id, address, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stored_answer, whole, status, contentType, text, finishReason, promptTokens, outputTokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_acquired, key, requestId, fingerprint, service, claimant, replaces)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_finished, key, requestId, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_released, key, requestId)

namespace {

    using nlohmann::json;

    constexpr int shardDigits = 2;
    // Segment numbers are padded with zeros to this width, so that the keys of a shard sort by number.
    constexpr int segmentNumberDigits = 15;

    std::int64_t wallClockMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string zeroPadded(std::uint64_t value, int digits)
    {
        std::ostringstream text;
        text << std::setw(digits) << std::setfill('0') << value;
        return text.str();
    }

    bool isUtf8(const std::string& text)
    {
        try {
            return !json(text).dump().empty();
        } catch (const json::type_error&) {
            return false;
        }
    }

    // JSON strings must be UTF-8. For an answer in another encoding, only the fact that the request ran is stored.
    claim_finished withoutNonUtf8Text(claim_finished finished)
    {
        if (!isUtf8(finished.answer.text)) {
            finished.answer.whole = false;
            finished.answer.text.clear();
        }
        return finished;
    }

    json encodeRecord(const claim_record& record)
    {
        const auto visitor = overloaded {
            [](const claim_acquired& acquired) { return json { { "made", acquired } }; },
            [](const claim_finished& finished) { return json { { "finished", withoutNonUtf8Text(finished) } }; },
            [](const claim_released& released) { return json { { "released", released } }; },
        };
        return std::visit(visitor, record);
    }

    claim_record decodeRecord(const json& item)
    {
        if (item.contains("made"))
            return item.at("made").get<claim_acquired>();
        if (item.contains("finished"))
            return item.at("finished").get<claim_finished>();
        return item.at("released").get<claim_released>();
    }

} // namespace

std::string claimShardPrefix(std::uint32_t shard)
{
    return "claims/" + zeroPadded(shard, shardDigits) + "/";
}

std::string claimSegmentKey(std::uint32_t shard, std::uint64_t number)
{
    return claimShardPrefix(shard) + zeroPadded(number, segmentNumberDigits);
}

std::string encodeClaimSegment(const claim_segment& segment)
{
    json root = { { "write_id", segment.writeId }, { "written_at_ms", wallClockMilliseconds() }, { "records", json::array() } };
    for (const auto& record : segment.records)
        root["records"].push_back(encodeRecord(record));
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<numbered_segment> decodeClaimSegment(const stored_object& object)
{
    try {
        const auto root = json::parse(object.value);
        numbered_segment segment;
        segment.number = std::stoull(object.key.substr(object.key.rfind('/') + 1));
        segment.version = object.version;
        segment.contents.writeId = root.at("write_id");
        segment.contents.age = std::chrono::milliseconds(wallClockMilliseconds() - root.at("written_at_ms").get<std::int64_t>());
        for (const auto& item : root.at("records"))
            segment.contents.records.push_back(decodeRecord(item));
        return segment;
    } catch (const std::exception& failure) {
        return error { "claim segment '" + object.key + "' is malformed: " + failure.what() };
    }
}

} // namespace kumquat
