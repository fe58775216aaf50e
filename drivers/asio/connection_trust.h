#pragma once

#include "core/clock.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace kumquat {

// Which idle connections may carry another request, after a server has dropped one without notice. What is sent on such a connection
// is lost, and whether it was is known only after that.
//
// Without such a loss each idle connection is used. After one, for a time that doubles if losses go on, connections to that server are
// used only after a shorter rest; and a request that can't be repeated goes, at each server, only to a connection that has hardly rested or
// whose rest is proved by an answer since then. Servers often begin to drop connections together, since something on the way drops them.
class connection_trust {
public:
    // Whether a request may be sent on a connection to the server that has rested for this time.
    bool mayReuse(const std::string& server, duration rested, bool requestMayBeLost, instant now) const;
    // A reused connection has brought bytes of an answer.
    void recordAnswer(const std::string& server, duration rested, instant now);
    // A reused connection that had rested ended with no byte of an answer. Returns false if that is not taken for a drop, since it came
    // too long after the request was sent or the connection had hardly rested.
    bool recordLoss(const std::string& server, duration rested, duration afterSending, instant now);
    // Another client has had such a loss.
    void distrust(instant now);
    // How long connections are distrusted from the last loss on.
    duration distrustTime() const { return m_length; }

private:
    struct server_state {
        // Connections that have rested for longer are not used. Nothing if none to this server were dropped.
        std::optional<duration> longestRest;
        // An answer has come after this rest.
        duration provedRest {};
    };

    bool isDistrusting(instant now) const { return m_until && now < *m_until; }

    // Empty while no connections are distrusted.
    std::unordered_map<std::string, server_state> m_servers;
    std::optional<instant> m_until;
    duration m_length {};
};

} // namespace kumquat
