#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat_bench {

constexpr std::size_t bytesPerToken = 5;

// Returns one token of the only right answer to a request body. Every engine gives the same text for the same body.
std::string answerToken(std::uint64_t bodyHash, std::uint32_t index);

// Returns whether text continues the right answer at the given byte.
bool continuesAnswer(std::uint64_t bodyHash, std::size_t offset, std::string_view text);

} // namespace kumquat_bench
