#include "servers/claims/claim_record.h"

#include "core/overloaded.h"

namespace kumquat {

namespace {

    // Bound for the field names, punctuation and numbers of one record in JSON.
    constexpr std::size_t recordOverheadBytes = 200;

    constexpr std::size_t controlCharacterBytes = 6;
    constexpr std::size_t nonAsciiByteBytes = 3;

    // Upper bound for the size of a text as a JSON string, without its quotation marks.
    std::size_t escapedSize(const std::string& text)
    {
        std::size_t bytes = 0;
        for (const unsigned char character : text) {
            if (character < 0x20)
                bytes += controlCharacterBytes;
            else if (character >= 0x7f)
                bytes += nonAsciiByteBytes;
            else
                bytes += character == '"' || character == '\\' ? 2 : 1;
        }
        return bytes;
    }

} // namespace

const std::string& keyOf(const claim_record& record)
{
    return std::visit([](const auto& concrete) -> const std::string& { return concrete.key; }, record);
}

std::size_t sizeOf(const claim_record& record)
{
    const auto visitor = overloaded {
        [](const claim_acquired& acquired) { return acquired.key.size() + 2 * acquired.requestId.size() + acquired.service.size(); },
        [](const claim_finished& finished) { return finished.key.size() + finished.requestId.size() + escapedSize(finished.answer.text); },
        [](const claim_released& released) { return released.key.size() + released.requestId.size(); },
    };
    return recordOverheadBytes + std::visit(visitor, record);
}

} // namespace kumquat
