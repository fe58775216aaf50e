#include "drivers/cbor/stream_codec.h"

#include "core/overloaded.h"
#include "drivers/cbor/cbor_structure.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    // A message is a CBOR array without field names. Its first element tells the kind of the message and the version of its format;
    // digests, whose format versions are small, begin with another number.
    constexpr int saveFormat = 1001;
    constexpr int queryFormat = 1002;
    constexpr int answerFormat = 1003;
    constexpr int droppedFormat = 1004;

    // The size of the head of a CBOR array of up to 23 elements, and that of a two-byte integer.
    constexpr std::size_t arrayHeadBytes = 1;
    constexpr unsigned char twoByteIntegerHead = 0x19;

    json encodeOptional(const std::optional<std::uint64_t>& value)
    {
        return value ? json(*value) : json();
    }

    std::optional<std::uint64_t> decodeOptional(const json& value)
    {
        return value.is_null() ? std::nullopt : std::optional(value.get<std::uint64_t>());
    }

    stream_message decode(const json& root)
    {
        const auto format = root.at(0).get<int>();
        if (format == saveFormat)
            return save_origin { { root.at(1).get<std::uint64_t>(), root.at(2).get<std::uint64_t>(), std::chrono::milliseconds(root.at(3).get<std::int64_t>()) }, root.at(4).get<bool>() };
        if (format == queryFormat)
            return origin_query { root.at(1).get<std::uint64_t>(), root.at(2).get<std::uint64_t>(), root.at(3).get<std::string>(), root.at(4).get<std::string>(), root.at(5).get<bool>() };
        if (format == droppedFormat)
            return dropped_connection {};
        return origin_answer { root.at(1).get<std::uint64_t>(), decodeOptional(root.at(2)), decodeOptional(root.at(3)) };
    }

} // namespace

bool isStreamMessage(const std::string& bytes)
{
    if (bytes.size() < arrayHeadBytes + 3 || static_cast<unsigned char>(bytes[arrayHeadBytes]) != twoByteIntegerHead)
        return false;
    const auto format = static_cast<unsigned char>(bytes[arrayHeadBytes + 1]) * 256 + static_cast<unsigned char>(bytes[arrayHeadBytes + 2]);
    return format >= saveFormat && format <= droppedFormat;
}

std::string encodeStreamMessage(const stream_message& message)
{
    const auto visitor = overloaded {
        [](const save_origin& save) { return json { saveFormat, save.origin.stream, save.origin.version, save.origin.timeLeft.count(), save.isForwarded }; },
        [](const origin_query& query) { return json { queryFormat, query.query, query.stream, query.service, query.replyTo, query.isForwarded }; },
        [](const origin_answer& answer) { return json { answerFormat, answer.query, encodeOptional(answer.version), encodeOptional(answer.onlyVersion) }; },
        [](const dropped_connection&) { return json::array({ droppedFormat }); },
    };
    std::string bytes;
    json::to_cbor(std::visit(visitor, message), bytes);
    return bytes;
}

result<stream_message> decodeStreamMessage(const std::string& bytes)
{
    const auto root = isStreamMessage(bytes) && isShallowCbor(bytes) ? json::from_cbor(bytes, true, false) : json();
    if (!root.is_array())
        return error { "datagram of " + std::to_string(bytes.size()) + " bytes is not a message about a stream" };
    try {
        return decode(root);
    } catch (const json::exception& failure) {
        return error { std::string("message about a stream cannot be decoded: ") + failure.what() };
    }
}

} // namespace kumquat
