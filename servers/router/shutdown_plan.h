#pragma once

#include "core/clock.h"

namespace kumquat::router {

// The times of one planned stop, from the SIGTERM until the process ends. They are fixed when it begins, so that a change of the
// settings does not move them. docs/design/planned-stop.md says why each is where it is.
class shutdown_plan {
public:
    // The platform kills the process when the grace is over.
    shutdown_plan(instant beginsAt, duration grace);

    // Whether a request that comes now is accepted: at first those that are likely to end before the last answers, then those whose
    // deadline is before them.
    bool accepts(instant now, instant deadline, instant likelyEnd) const;
    // When the listener and the connections that nobody uses are closed.
    instant listenerClosesAt() const { return m_listenerClosesAt; }
    // When each request that has no answer yet gets one.
    instant lastAnswersAt() const { return m_lastAnswersAt; }
    // Whether a request may still be sent to an upstream.
    bool mayStartAttempts(instant now) const { return now < m_lastAnswersAt; }
    // When the streams that are still in progress are broken off. Late if the last answers were late.
    instant streamsBreakAt(instant lastAnswersGivenAt) const;
    // When the process ends, whatever is still unsent. Late if the streams were broken off late, since what they hold has to be sent.
    instant endsAt(instant streamsBrokenAt) const;

private:
    instant m_acceptsLikelyUntil;
    instant m_listenerClosesAt;
    instant m_lastAnswersAt;
    instant m_streamsBreakAt;
    instant m_endsAt;
};

} // namespace kumquat::router
