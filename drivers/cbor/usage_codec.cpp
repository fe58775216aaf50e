#include "drivers/cbor/usage_codec.h"

#include "core/overloaded.h"
#include "drivers/cbor/cbor_structure.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    // A message is a CBOR array without field names. Its first element tells the kind of the message and the version of its format;
    // digests and messages about streams begin with other numbers.
    constexpr int countsFormat = 1101;
    constexpr int acknowledgementFormat = 1102;

    // The size of the head of a CBOR array of up to 23 elements, and that of a two-byte integer.
    constexpr std::size_t arrayHeadBytes = 1;
    constexpr unsigned char twoByteIntegerHead = 0x19;

    // A count is encoded as the distance of its window from the first one of the message, the organisation and the runs.
    constexpr std::size_t valuesPerCount = 3;

    // Present only in forwarded counts. Older versions ignore it.
    constexpr std::size_t forwardedIndex = 5;

    json encodeCounts(const usage_counts& message)
    {
        std::uint64_t firstWindow = message.counts.empty() ? 0 : message.counts.front().window;
        for (const auto& count : message.counts)
            firstWindow = std::min(firstWindow, count.window);
        json list = json::array();
        for (const auto& count : message.counts)
            list.insert(list.end(), { count.window - firstWindow, count.organisation, count.runs });
        json root { countsFormat, message.incarnation, message.number, firstWindow, std::move(list) };
        if (message.forwarded)
            root.push_back(true);
        return root;
    }

    usage_counts decodeCounts(const json& root)
    {
        usage_counts message { root.at(1).get<std::uint64_t>(), root.at(2).get<std::uint64_t>(), {}, root.size() > forwardedIndex && root.at(forwardedIndex).get<bool>() };
        const auto firstWindow = root.at(3).get<std::uint64_t>();
        const auto& list = root.at(4);
        for (std::size_t index = 0; index + valuesPerCount <= list.size(); index += valuesPerCount)
            message.counts.push_back({ firstWindow + list.at(index).get<std::uint64_t>(), list.at(index + 1).get<std::string>(), list.at(index + 2).get<std::uint64_t>() });
        return message;
    }

    usage_message decode(const json& root)
    {
        if (root.at(0).get<int>() == countsFormat)
            return decodeCounts(root);
        return usage_acknowledgement { root.at(1).get<std::uint64_t>(), root.at(2).get<std::uint64_t>(), root.at(3).get<std::uint64_t>() };
    }

} // namespace

bool isUsageMessage(const std::string& bytes)
{
    if (bytes.size() < arrayHeadBytes + 3 || static_cast<unsigned char>(bytes[arrayHeadBytes]) != twoByteIntegerHead)
        return false;
    const auto format = static_cast<unsigned char>(bytes[arrayHeadBytes + 1]) * 256 + static_cast<unsigned char>(bytes[arrayHeadBytes + 2]);
    return format == countsFormat || format == acknowledgementFormat;
}

std::string encodeUsageMessage(const usage_message& message)
{
    const auto visitor = overloaded {
        [](const usage_counts& counts) { return encodeCounts(counts); },
        [](const usage_acknowledgement& acknowledged) { return json { acknowledgementFormat, acknowledged.incarnation, acknowledged.number, acknowledged.collector }; },
    };
    std::string bytes;
    json::to_cbor(std::visit(visitor, message), bytes);
    return bytes;
}

result<usage_message> decodeUsageMessage(const std::string& bytes)
{
    const auto root = isUsageMessage(bytes) && isShallowCbor(bytes) ? json::from_cbor(bytes, true, false) : json();
    if (!root.is_array())
        return error { "datagram of " + std::to_string(bytes.size()) + " bytes is not a message about usage" };
    try {
        return decode(root);
    } catch (const json::exception& failure) {
        return error { std::string("message about usage cannot be decoded: ") + failure.what() };
    }
}

} // namespace kumquat
