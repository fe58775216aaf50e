#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace kumquat {

// Draws the back-off before a retry with full jitter: uniform between zero and a ceiling that doubles with every failure.
class retry_backoff {
public:
    struct options {
        // Ceiling after the first failure.
        std::chrono::milliseconds initialBackoff { 50 };
        // Largest ceiling.
        std::chrono::milliseconds maxBackoff { 2000 };
    };

    retry_backoff(options settings, std::uint64_t seed)
        : m_options(settings)
        , m_random(seed)
    {
    }

    // Returns the back-off after the given number of failures of the request.
    std::chrono::milliseconds draw(std::uint32_t failures);

private:
    options m_options;
    std::mt19937_64 m_random;
};

} // namespace kumquat
