#include "servers/entry/retry_backoff.h"

#include <algorithm>

namespace kumquat {

std::chrono::milliseconds retry_backoff::draw(std::uint32_t failures)
{
    // Bounds the shift below, so that it cannot overflow.
    constexpr std::uint32_t maxBackoffDoublings = 16;
    const auto exponent = std::min(failures > 0 ? failures - 1 : 0, maxBackoffDoublings);
    const auto ceiling = std::min(m_options.maxBackoff, m_options.initialBackoff * (std::int64_t { 1 } << exponent));
    std::uniform_int_distribution<std::int64_t> distribution(0, ceiling.count());
    return std::chrono::milliseconds { distribution(m_random) };
}

} // namespace kumquat
