#pragma once

#include "core/clock.h"

namespace kumquat::router {

// The times of one planned stop, from the SIGTERM until the process ends. They are fixed when it begins, so that a change of the
// settings does not move them. docs/design/planned-stop.md says why each is where it is.
class shutdown_plan {
public:
    // The platform kills the process when the grace is over.
    shutdown_plan(instant beginsAt, duration grace);

    // Whether a request that comes now is accepted: at first all, then those whose deadline is before the last answers.
    bool accepts(instant now, instant deadline) const { return now <= m_acceptsAllUntil || deadline <= m_lastAnswersAt; }
    // When the listener and the connections that nobody uses are closed.
    instant listenerClosesAt() const { return m_listenerClosesAt; }
    // When each request that has no answer yet gets one.
    instant lastAnswersAt() const { return m_lastAnswersAt; }
    // Whether a request may still be sent to an upstream.
    bool mayStartAttempts(instant now) const { return now < m_lastAnswersAt; }
    // When the process ends, whatever is still unsent. Late if the last answers were late, since they have to be sent.
    instant endsAt(instant lastAnswersGivenAt) const;

private:
    instant m_acceptsAllUntil;
    instant m_listenerClosesAt;
    instant m_lastAnswersAt;
    instant m_endsAt;
};

} // namespace kumquat::router
