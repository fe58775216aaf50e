#pragma once

#include "core/clock.h"

#include <optional>

namespace kumquat {

// Limits events to a rate. Tokens are added continuously until there are as many as the burst, and each event takes one.
class token_bucket {
public:
    // A bucket with these tokens, to which none are added until setRate is called.
    token_bucket(double tokens, instant now);

    // Sets how many tokens are added each second and how many may be saved up.
    void setRate(double tokensPerSecond, double burst, instant now);
    // Whether an event is allowed.
    bool hasToken(instant now) const { return tokensAt(now) >= 1; }
    // Takes one token for an event. The count may become negative, and then has to be made up for.
    void take(instant now);
    // How long until an event is allowed, or nothing if it never is at this rate.
    std::optional<duration> timeUntilToken(instant now) const;

private:
    double tokensAt(instant now) const;

    double m_tokens = 0;
    double m_tokensPerSecond = 0;
    double m_burst = 0;
    instant m_updatedAt;
};

} // namespace kumquat
