#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Tracks the entries that send offers to this sidecar or subscribe to its reports: when each was last seen, which of its
// attempts have not ended, which answers it has yet to acknowledge, and whether it receives reports. A process that
// replaced another one under the same id counts as a different entry, by its incarnation. Its predecessor is removed by
// the timeout and not at the first message of the successor, because messages of the two may arrive in any order.
class entry_watch {
public:
    explicit entry_watch(duration timeout)
        : m_timeout(timeout)
    {
    }

    // Records that a message of the entry has arrived, and adds the entry if it is new.
    void heard(const peer_identity&, instant now);
    // Subscribes the entry to reports or updates its interval. Returns whether it was not subscribed before, and therefore
    // has to be sent a first report.
    bool subscribe(const peer_identity&, std::chrono::milliseconds reportInterval, instant now);

    // Attempts of the entry that have not ended.
    void began(const peer_identity&, const attempt_id&);
    void ended(const peer_identity&, const attempt_id&);
    // Answers that the entry has yet to acknowledge.
    void keptAnswer(const peer_identity&, const attempt_id&);
    void droppedAnswer(const peer_identity&, const attempt_id&);
    bool hasUnacknowledgedAnswers() const { return m_unacknowledged > 0; }

    // Removes the entries that have sent nothing for the timeout, and returns their attempts that have not ended.
    std::vector<attempt_id> takeAbandoned(instant now);

    // Returns all subscribed entries and records that a report is sent to each of them now.
    std::vector<peer_identity> takeSubscribers(instant now);
    // Returns the subscribed entries whose report interval has passed since their last report, and records that a report is
    // sent to each of them now.
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
