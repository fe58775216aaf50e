#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat_bench {

constexpr std::size_t bytesPerToken = 5;

// Returns the token at the given index of the expected answer to a request body. The text depends on the body's hash
// alone, so a retry on another engine yields the same answer and the checks can detect wrong or misplaced text.
std::string answerToken(std::uint64_t bodyHash, std::uint32_t index);

// Returns whether the text equals the expected answer from the given byte offset on.
bool matchesAnswerAt(std::uint64_t bodyHash, std::size_t offset, std::string_view text);

} // namespace kumquat_bench
