#pragma once

#include "core/clock.h"
#include "core/usage_message.h"
#include "servers/usage/usage_counter.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquat::usage {

// A message for the router at an address.
struct addressed_counts {
    std::string address;
    usage_counts message;
};

// Decides which counts of this router are sent to which collector: those that have grown since the collector acknowledged them, and
// everything to a new collector.
class usage_sender {
public:
    explicit usage_sender(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    // Sets the addresses of the collectors under a new holder. A collector that was one before is asked whether it still has the
    // counts.
    void setCollectors(const std::vector<std::string>& addresses, instant now);
    // Sends rarely from now on, since the announcement that names the collectors has lapsed. One of them may be the next holder.
    void slowDown() { m_isSlow = true; }
    // Sends as usual again, and what is due at once.
    void resume(instant now);
    // Returns the messages that are due, with the counts from the given window on.
    std::vector<addressed_counts> takeDue(const usage_counter&, std::uint64_t firstWindow, instant now);
    void acknowledge(const std::string& address, const usage_acknowledgement&, instant now);
    // When takeDue() has to be called next, or nothing.
    std::optional<instant> nextDeadline() const;

private:
    struct sent_count {
        std::uint64_t sentRuns = 0;
        std::uint64_t acknowledgedRuns = 0;
        instant sentAt;
    };
    struct sent_message {
        std::vector<usage_count> counts;
        instant sentAt;
    };
    struct collector_state {
        // Its incarnation in its last acknowledgement.
        std::optional<std::uint64_t> incarnation;
        // By window and organisation.
        std::map<std::uint64_t, std::unordered_map<std::string, sent_count>> sent;
        // Messages without an acknowledgement, by number.
        std::map<std::uint64_t, sent_message> unacknowledged;
        instant dueAt;
        // When the next round begins, in which all counts that have grown are due. Lost messages are due earlier.
        instant roundAt;
        // A message is sent even if no count has grown.
        bool isAsked = false;
        // More is due than there was room for.
        bool hasMore = false;
        // When the first message since its last acknowledgement was sent.
        std::optional<instant> unansweredSince;
    };

    // The counts that the collector lacks, except those that were sent to it a short time ago.
    static std::vector<usage_count> missingCounts(collector_state&, const usage_counter&, std::uint64_t firstWindow, bool isRound, instant now);
    // Whether a count that was sent before has to be sent again.
    static bool isDueAgain(const sent_count&, std::uint64_t runs, bool isRound, instant now);
    // The collector has not answered for a time.
    static bool isSilent(const collector_state&, instant now);
    // How many messages may be sent to the collector now.
    static std::size_t roomFor(const collector_state&, instant now);
    // When counts for the collector are due next.
    instant nextDueAt(const collector_state&, instant now) const;
    // Sends as many of the counts as there is room for.
    void sendTo(const std::string& address, collector_state&, std::vector<usage_count>&& missing, instant now, std::vector<addressed_counts>& due);

    std::uint64_t m_incarnation;
    std::uint64_t m_lastNumber = 0;
    bool m_isSlow = false;
    std::map<std::string, collector_state> m_collectors;
};

} // namespace kumquat::usage
