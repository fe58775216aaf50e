#pragma once

#include "core/result.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace kumquat {

// Authenticates messages between processes that share a network key. A sealed message carries the sender's session, a
// counter, and a code that also covers the receiver's address, so that it is worthless elsewhere and a second time.
class message_seal {
public:
    // An empty key switches authentication off; messages then pass unchanged.
    explicit message_seal(std::string networkKey);

    std::string seal(std::string_view payload, const std::string& receiverAddress);
    // Returns the payload, or why the message is refused.
    result<std::string> open(std::string_view sealed, const std::string& ownAddress);

private:
    // The counters that one sender's session has used towards this process.
    struct replay_window {
        std::uint64_t highest = 0;
        // Bit n stands for the counter highest - n.
        std::uint64_t seen = 0;
        std::list<std::uint64_t>::iterator age;
    };

    std::string codeFor(std::string_view bytes, const std::string& receiverAddress) const;
    bool acceptCounter(std::uint64_t session, std::uint64_t counter);
    replay_window& windowOf(std::uint64_t session);

    std::string m_key;
    std::uint64_t m_session = 0;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::uint64_t, replay_window> m_windows;
    // Sessions, most recently heard first.
    std::list<std::uint64_t> m_ages;
};

} // namespace kumquat
