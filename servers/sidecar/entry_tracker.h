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
class entry_tracker {
public:
    explicit entry_tracker(duration timeout)
        : m_timeout(timeout)
    {
    }

    // Records that a message of the entry has arrived, and adds the entry if it is new.
    void recordMessage(const peer_identity&, instant now);
    // Subscribes the entry to reports or updates its interval. Returns whether it was not subscribed before, and therefore
    // has to be sent a first report.
    bool subscribe(const peer_identity&, std::chrono::milliseconds reportInterval, instant now);

    // Attempts of the entry that have not ended.
    void addAttempt(const peer_identity&, const attempt_id&);
    void removeAttempt(const peer_identity&, const attempt_id&);
    // Answers that the entry has yet to acknowledge.
    void addUnacknowledgedAnswer(const peer_identity&, const attempt_id&);
    void removeUnacknowledgedAnswer(const peer_identity&, const attempt_id&);
    bool hasUnacknowledgedAnswers() const { return m_unacknowledgedCount > 0; }

    // Removes the entries that have sent nothing for the timeout, and returns their attempts that have not ended.
    std::vector<attempt_id> removeSilentEntries(instant now);

    // Returns all subscribed entries and records that a report is sent to each of them now.
    std::vector<peer_identity> markAllReported(instant now);
    // Returns the subscribed entries whose report interval has passed since their last report, and records that a report is
    // sent to each of them now.
    std::vector<peer_identity> markDueReported(instant now);
    bool hasEntries() const { return !m_entries.empty(); }

private:
    using entry_key = std::pair<std::string, std::uint64_t>;

    struct tracked_entry {
        peer_identity identity;
        instant lastSeen;
        bool subscribed = false;
        std::chrono::milliseconds reportInterval { 0 };
        instant lastReportAt;
        std::set<attempt_id> pendingAttempts;
        std::set<attempt_id> unacknowledgedAnswers;
    };

    static entry_key keyOf(const peer_identity& identity) { return { identity.id, identity.incarnation }; }
    tracked_entry* find(const peer_identity&);

    duration m_timeout;
    std::map<entry_key, tracked_entry> m_entries;
    std::size_t m_unacknowledgedCount = 0;
};

} // namespace kumquat
