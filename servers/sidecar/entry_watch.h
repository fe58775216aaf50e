#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Knows the entries that this sidecar works for: when each was last heard, which attempts it waits for, and who wants
// reports. A process that replaced another under the same id is another entry; its predecessor's work ends by silence, since
// messages of the two may arrive in any order.
class entry_watch {
public:
    explicit entry_watch(duration timeout)
        : m_timeout(timeout)
    {
    }

    void heard(const peer_identity&, instant now);
    // Returns whether the entry is new here and has to be sent a first report.
    bool subscribe(const peer_identity&, std::chrono::milliseconds reportInterval, instant now);

    // The entry waits for the attempt to end.
    void began(const peer_identity&, const attempt_id&);
    void ended(const peer_identity&, const attempt_id&);
    // The entry has yet to acknowledge the answer of an attempt.
    void keptAnswer(const peer_identity&, const attempt_id&);
    void droppedAnswer(const peer_identity&, const attempt_id&);
    bool hasUnacknowledgedAnswers() const { return m_unacknowledged > 0; }

    // Forgets the entries that have been silent, and returns the attempts that nobody waits for any more.
    std::vector<attempt_id> takeAbandoned(instant now);

    // Returns the entries that want reports, all of which are told now.
    std::vector<peer_identity> takeSubscribers(instant now);
    // Returns those whose own interval has passed since they were last told, and which are told now.
    std::vector<peer_identity> takeDueSubscribers(instant now);
    bool hasEntries() const { return !m_entries.empty(); }

private:
    using entry_key = std::pair<std::string, std::uint64_t>;

    struct watched_entry {
        peer_identity identity;
        instant lastHeard;
        bool subscribed = false;
        std::chrono::milliseconds reportInterval { 0 };
        instant reportedAt;
        std::set<attempt_id> waitingFor;
        std::set<attempt_id> unacknowledged;
    };

    static entry_key keyOf(const peer_identity& identity) { return { identity.id, identity.incarnation }; }
    watched_entry* find(const peer_identity&);

    duration m_timeout;
    std::map<entry_key, watched_entry> m_entries;
    std::size_t m_unacknowledged = 0;
};

} // namespace kumquat
