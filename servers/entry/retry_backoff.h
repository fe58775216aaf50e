#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace kumquat {

// Draws the pause before a retry: uniform between zero and a ceiling that doubles with every failure (full jitter).
class retry_backoff {
public:
    struct options {
        std::chrono::milliseconds base { 50 };
        std::chrono::milliseconds limit { 2000 };
    };

    retry_backoff(options settings, std::uint64_t seed)
        : m_options(settings)
        , m_random(seed)
    {
    }

    std::chrono::milliseconds draw(std::uint32_t failures);

private:
    options m_options;
    std::mt19937_64 m_random;
};

} // namespace kumquat
