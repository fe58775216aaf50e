#pragma once

#include "core/clock.h"
#include "core/hash.h"
#include "core/store_object.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace kumquat::router {

// The next read that a watcher asks the store for.
struct store_read_request {
    // For a list: the name of the last object that was read, or empty to start at the beginning.
    std::string after;
    // For a watch: the revision since which changes are requested. Absent for a list.
    std::optional<std::uint64_t> sinceRevision;
    // The watch is a check: it asks for an answer at once, also if nothing has changed.
    bool isCheck = false;
};

// What one read of the store changes for one kind of object.
template <typename Value>
struct store_update {
    std::vector<store_entry<Value>> entries;
    // Present once a list is complete: the names of all its objects. An object without one of these names does not exist.
    std::optional<std::unordered_set<std::string>> listedNames;
    // Why the read failed; empty if it succeeded.
    std::string failure;
};

// Follows the objects of one kind in the store: lists them, then watches for changes since the start of the list. The pages of
// a list are returned as they arrive. A page that can't be read is read again, after a random pause that grows with the
// failures, so that many routers that start at once don't repeat their reads together. A watch that fails, or whose history
// of changes the store no longer has, leads to a new list. The silence of a watch proves nothing, since its answer may be lost: whoever
// knows of newer changes has it replaced by a check.
template <typename Value>
class store_watcher {
public:
    // The seed differs between routers, so that their pauses differ.
    explicit store_watcher(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    // Returns the read to start now, or nothing while a read is in progress or the time of the next read has not come.
    std::optional<store_read_request> nextRead(instant now)
    {
        if (m_readInProgress || now < m_nextReadAt)
            return std::nullopt;
        m_readInProgress = true;
        m_readStartedAt = now;
        m_readIsCheck = m_watching && std::exchange(m_checkWanted, false);
        if (m_watching)
            return store_read_request { {}, m_revision, m_readIsCheck };
        return store_read_request { m_listAfter, std::nullopt };
    }

    // Takes in the outcome of the read that is in progress, and returns the changes to apply.
    store_update<Value> onOutcome(store_read_outcome<Value>&& outcome, instant now)
    {
        m_readInProgress = false;
        return std::visit([&](auto& read) { return accept(std::move(read), now); }, outcome);
    }

    // Sets how long to wait after an answer with changes before the next watch, so that a burst of changes arrives in one
    // answer.
    void setBatchDelay(duration batchDelay) { m_batchDelay = batchDelay; }

    // Whether a watch waits for changes that was started before that time, so that its silence may be the loss of its answer.
    bool waitsSinceBefore(instant time) const { return m_watching && m_readInProgress && !m_readIsCheck && m_readStartedAt < time; }
    bool isChecking() const { return m_readInProgress && m_readIsCheck; }
    // When the last read was started.
    instant readStartedAt() const { return m_readStartedAt; }

    // Abandons the watch in progress, and checks at the next read what has changed.
    void check()
    {
        m_readInProgress = false;
        m_checkWanted = true;
    }

    // Abandons the watch in progress, and watches again from that time on.
    void renew(instant notBefore)
    {
        m_readInProgress = false;
        m_nextReadAt = notBefore;
    }

    // The store is known to have had nothing newer at that time than what was returned.
    void confirm(instant time)
    {
        if (m_confirmedAt)
            m_confirmedAt = std::max(*m_confirmedAt, time);
    }

    // Lists the objects again at the next read. What was confirmed so far stays confirmed.
    void relist()
    {
        m_readInProgress = false;
        restartList();
    }

    // Lists the objects again at the next read, and discards the confirmation.
    void resetAndRelist()
    {
        m_readInProgress = false;
        m_confirmedAt.reset();
        restartList();
    }

    // Follows a store that was restored from an older copy: its revisions start anew, and the objects are listed again at the
    // next read.
    void restart()
    {
        resetAndRelist();
        m_revision = 0;
    }

    // The earliest time of the next read, or nothing while a read is in progress.
    std::optional<instant> nextReadAt() const
    {
        if (m_readInProgress)
            return std::nullopt;
        return m_nextReadAt;
    }

    // The latest time at which the store is known to have had nothing newer than what was returned.
    std::optional<instant> confirmedAt() const { return m_confirmedAt; }
    // The store answered the last read.
    bool healthy() const { return m_healthy; }
    std::uint64_t revision() const { return m_revision; }

private:
    // The answer to a watch may lack changes that were made up to this long before it.
    static constexpr auto watchDetectionDelay = std::chrono::seconds(1);
    static constexpr auto minBackoff = std::chrono::milliseconds(20);
    static constexpr auto initialBackoff = std::chrono::milliseconds(100);
    static constexpr int maxBackoffDoublings = 3;

    store_update<Value> accept(store_page<Value>&& page, instant now)
    {
        recordAnswer();
        const bool isFirstPage = m_listAfter.empty();
        if (isFirstPage) {
            m_listStartedAt = m_readStartedAt;
            m_listRevision = page.revision;
        }
        // A page with an older revision comes from a store that lags behind, and is discarded.
        if (page.revision < std::max(m_revision, m_listRevision)) {
            restartList();
            m_nextReadAt = now + initialBackoff;
            return {};
        }
        for (const auto& entry : page.entries)
            m_listedNames.insert(entry.name);
        m_listAfter = page.more ? lastName(page.entries) : std::string();
        if (!m_listAfter.empty())
            return { std::move(page.entries), std::nullopt, {} };
        // Objects of the first pages may have changed while later ones were read, so the watch starts where the list did.
        m_revision = m_listRevision;
        m_watching = true;
        m_confirmedAt = m_listStartedAt;
        return { std::move(page.entries), std::exchange(m_listedNames, {}), {} };
    }

    store_update<Value> accept(store_changes<Value>&& changes, instant now)
    {
        recordAnswer();
        m_revision = std::max(m_revision, changes.revision);
        confirm(m_readIsCheck ? m_readStartedAt : now - watchDetectionDelay);
        if (!changes.entries.empty())
            m_nextReadAt = now + m_batchDelay;
        return { std::move(changes.entries), std::nullopt, {} };
    }

    store_update<Value> accept(store_history_lost&&, instant)
    {
        restartList();
        return { {}, std::nullopt, "the store no longer has the history of changes" };
    }

    store_update<Value> accept(store_read_failed&& failed, instant now)
    {
        m_nextReadAt = now + randomBackoff();
        ++m_consecutiveFailures;
        m_healthy = false;
        // A failed watch may have missed changes, while the pages of a list that were read stay valid.
        if (m_watching)
            restartList();
        return { {}, std::nullopt, std::move(failed.reason) };
    }

    duration randomBackoff() const
    {
        const duration longest = initialBackoff * (1 << std::min(m_consecutiveFailures, maxBackoffDoublings));
        const auto draw = hashBytes(std::to_string(m_consecutiveFailures), m_seed) % static_cast<std::uint64_t>(longest.count());
        return std::max<duration>(duration(draw), minBackoff);
    }

    void recordAnswer()
    {
        m_consecutiveFailures = 0;
        m_healthy = true;
    }

    void restartList()
    {
        m_watching = false;
        m_checkWanted = false;
        m_listAfter.clear();
        m_listedNames.clear();
    }

    std::uint64_t m_seed;
    bool m_readInProgress = false;
    bool m_readIsCheck = false;
    bool m_checkWanted = false;
    bool m_watching = false;
    // The list that is in progress: the name after which it continues, the names so far, and the revision of its first page.
    std::string m_listAfter;
    std::unordered_set<std::string> m_listedNames;
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    int m_consecutiveFailures = 0;
    instant m_readStartedAt;
    instant m_listStartedAt;
    instant m_nextReadAt;
    duration m_batchDelay {};
    std::optional<instant> m_confirmedAt;
    bool m_healthy = false;
};

} // namespace kumquat::router
