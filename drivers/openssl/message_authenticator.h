#pragma once

#include "core/result.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace kumquat {

// Authenticates messages between processes that share a network key. An authenticated message consists of the sender's
// session, a counter per receiver, the payload, and an HMAC-SHA256 tag that also covers the receiver's address. The address
// prevents a message from being redirected to another process, and the counter prevents it from being replayed. Payloads
// are not encrypted.
class message_authenticator {
public:
    // An empty key disables authentication; messages then pass unchanged.
    explicit message_authenticator(std::string networkKey);

    // Returns the payload with its session, counter and tag.
    std::string sign(std::string_view payload, const std::string& receiverAddress);
    // Returns the payload of a message to this process. Returns an error if the tag is wrong, or if the message is a replay
    // or lags too far behind the newest message of its session.
    result<std::string> verify(std::string_view message, const std::string& ownAddress);

private:
    // Which counters this process has accepted from one session of a sender.
    struct replay_window {
        std::uint64_t highestCounter = 0;
        // Bit n is set if the message with the counter highestCounter - n was accepted.
        std::uint64_t acceptedCounters = 0;
        std::list<std::uint64_t>::iterator recency;
    };

    std::string computeTag(std::string_view bytes, const std::string& receiverAddress) const;
    bool acceptCounter(std::uint64_t session, std::uint64_t counter);
    replay_window& findOrAddWindow(std::uint64_t session);

    std::string m_networkKey;
    std::uint64_t m_session = 0;
    std::map<std::string, std::uint64_t> m_lastCounters;
    std::map<std::uint64_t, replay_window> m_replayWindows;
    // Sessions, the one with the most recent message first.
    std::list<std::uint64_t> m_recentSessions;
};

} // namespace kumquat
