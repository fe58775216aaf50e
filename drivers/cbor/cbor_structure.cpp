#include "drivers/cbor/cbor_structure.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquat {

namespace {

    // Messages between routers are 2 levels deep, those between entries and sidecars 6.
    constexpr std::size_t maxDepth = 16;

    enum class major_type { unsigned_integer,
        negative_integer,
        byte_string,
        text_string,
        array,
        map,
        tag,
        simple_or_float };

    // The additional information of a head up to this value is the argument itself; the next four announce 1, 2, 4 and 8 bytes.
    constexpr unsigned largestInlineArgument = 23;
    constexpr unsigned eightByteArgument = 27;

    struct item_head {
        major_type type;
        std::uint64_t argument;
    };

    // Takes the head of an item from the front of the bytes.
    std::optional<item_head> takeHead(std::string_view& bytes)
    {
        if (bytes.empty())
            return std::nullopt;
        const auto first = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        const auto type = static_cast<major_type>(first >> 5U);
        const unsigned information = first & 0x1FU;
        if (information <= largestInlineArgument)
            return item_head { type, information };
        if (information > eightByteArgument)
            return std::nullopt;
        const std::size_t length = std::size_t { 1 } << (information - largestInlineArgument - 1);
        if (bytes.size() < length)
            return std::nullopt;
        std::uint64_t argument = 0;
        for (const char byte : bytes.substr(0, length))
            argument = argument << 8U | static_cast<unsigned char>(byte);
        bytes.remove_prefix(length);
        return item_head { type, argument };
    }

    // How many items an array or a map holds directly; a map's keys are items too. None for a value that holds no others.
    std::optional<std::uint64_t> itemCountOf(const item_head& head)
    {
        if (head.type == major_type::array)
            return head.argument;
        if (head.type == major_type::map)
            return 2 * head.argument;
        return std::nullopt;
    }

    bool isString(major_type type)
    {
        return type == major_type::byte_string || type == major_type::text_string;
    }

} // namespace

bool isShallowCbor(std::string_view bytes)
{
    // How many items are still due at each open level.
    std::vector<std::uint64_t> due { 1 };
    while (!due.empty()) {
        if (due.back() == 0) {
            due.pop_back();
            continue;
        }
        --due.back();
        const auto head = takeHead(bytes);
        if (!head || head->type == major_type::tag)
            return false;
        if (isString(head->type)) {
            if (head->argument > bytes.size())
                return false;
            bytes.remove_prefix(head->argument);
        }
        if (const auto count = itemCountOf(*head)) {
            // Each item takes a byte at least.
            if (head->argument > bytes.size() || due.size() > maxDepth)
                return false;
            due.push_back(*count);
        }
    }
    return bytes.empty();
}

} // namespace kumquat
