#include "core/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

    // Longer waits are reported as this one.
    constexpr double maxWaitSeconds = 3600;

} // namespace

token_bucket::token_bucket(double tokens, instant now)
    : m_tokens(tokens)
    , m_burst(tokens)
    , m_updatedAt(now)
{
}

void token_bucket::setRate(double tokensPerSecond, double burst, instant now)
{
    m_tokens = std::min(tokensAt(now), burst);
    m_updatedAt = now;
    m_tokensPerSecond = tokensPerSecond;
    m_burst = burst;
}

void token_bucket::take(instant now)
{
    m_tokens = tokensAt(now) - 1;
    m_updatedAt = now;
}

std::optional<duration> token_bucket::timeUntilToken(instant now) const
{
    const double missing = 1 - tokensAt(now);
    if (missing <= 0)
        return duration {};
    if (m_tokensPerSecond <= 0 || m_burst < 1)
        return std::nullopt;
    const auto waitSeconds = std::min(missing / m_tokensPerSecond, maxWaitSeconds);
    // Rounded up, so that there is a token after the wait.
    return duration(static_cast<duration::rep>(std::ceil(waitSeconds * 1e9)) + 1);
}

double token_bucket::tokensAt(instant now) const
{
    const double elapsedSeconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_burst, m_tokens + m_tokensPerSecond * elapsedSeconds);
}

} // namespace kumquat
