#include "bench/harness/answer_text.h"

#include <array>
#include <cstring>

namespace kumquat_bench {

namespace {

    // The final mixing step of a 64-bit hash, which maps consecutive inputs to unrelated outputs.
    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 33;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33;
        return value;
    }

    std::array<char, bytesPerToken> tokenBytes(std::uint64_t bodyHash, std::uint32_t index)
    {
        constexpr char letters[] = "abcdefghijklmnop";
        auto bits = mix(bodyHash + index);
        std::array<char, bytesPerToken> bytes {};
        for (auto& byte : bytes) {
            byte = letters[bits & 0xf];
            bits >>= 4;
        }
        return bytes;
    }

} // namespace

std::string answerToken(std::uint64_t bodyHash, std::uint32_t index)
{
    const auto bytes = tokenBytes(bodyHash, index);
    return { bytes.begin(), bytes.end() };
}

bool matchesAnswerAt(std::uint64_t bodyHash, std::size_t offset, std::string_view text)
{
    for (std::size_t position = 0; position < text.size(); ++position) {
        const auto answerOffset = offset + position;
        if (tokenBytes(bodyHash, static_cast<std::uint32_t>(answerOffset / bytesPerToken))[answerOffset % bytesPerToken] != text[position])
            return false;
    }
    return true;
}

} // namespace kumquat_bench
