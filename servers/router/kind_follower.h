#pragma once

#include "core/clock.h"
#include "core/store_object.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::router {

// The next read that a watcher asks the store for.
struct store_reading {
    // For a list: the name of the last object that was read, or empty to start at the beginning.
    std::string after;
    // For a watch: the revision whose successors are wanted. Absent for a list.
    std::optional<std::uint64_t> sinceRevision;
};

// What one read of the store changes for one kind of object.
template <typename Value>
struct follower_news {
    // The entries are the complete list and replace all earlier ones.
    bool snapshot = false;
    std::vector<store_entry<Value>> entries;
    // Why the read failed; empty if it succeeded.
    std::string failure;
};

// Follows the objects of one kind in the store: lists them, then watches for changes since the revision of the list. It
// lists them again after a failed read, and when the store no longer has the history of changes since that revision.
template <typename Value>
class kind_follower {
public:
    // Returns the read to start now, or nothing while a read is in progress or the time of the next read has not come.
    std::optional<store_reading> nextReading(instant now)
    {
        if (m_reading || now < m_pausedUntil)
            return std::nullopt;
        m_reading = true;
        m_readSince = now;
        if (m_watching)
            return store_reading { {}, m_revision };
        return store_reading { m_after, std::nullopt };
    }

    // Takes in the outcome of the read that is in progress, and returns the changes to apply.
    follower_news<Value> onOutcome(store_read_outcome<Value>&& outcome, instant now)
    {
        m_reading = false;
        return std::visit([&](auto& read) { return accept(std::move(read), now); }, outcome);
    }

    // Sets how long to wait after an answer with changes before the next watch, so that a burst of changes arrives in one
    // answer.
    void setPace(duration pace) { m_pace = pace; }

    // Lists the objects again at the next read. What was confirmed so far stays confirmed.
    void listAfresh()
    {
        m_reading = false;
        listAgain();
    }

    // Lists the objects again at the next read, and discards the confirmation.
    void startOver()
    {
        m_reading = false;
        m_confirmedAt.reset();
        listAgain();
    }

    // The earliest time of the next read, or nothing while a read is in progress.
    std::optional<instant> pausedUntil() const
    {
        if (m_reading)
            return std::nullopt;
        return m_pausedUntil;
    }

    // The latest time at which the store is known to have had nothing newer than what was returned.
    std::optional<instant> confirmedAt() const { return m_confirmedAt; }
    // The store answered the last read.
    bool sound() const { return m_sound; }
    std::uint64_t revision() const { return m_revision; }

private:
    // The answer to a watch may lack changes that were made up to this long before it.
    static constexpr auto watchBlindness = std::chrono::seconds(1);
    static constexpr auto firstPause = std::chrono::milliseconds(100);
    static constexpr auto longestEventGap = std::chrono::milliseconds(800);
    static constexpr int maxPauseDoublings = 3;

    follower_news<Value> accept(store_page<Value>&& page, instant)
    {
        succeed();
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_listed));
        if (m_after.empty())
            m_listSince = m_readSince;
        if (page.more && !m_listed.empty()) {
            m_after = m_listed.back().name;
            return {};
        }
        m_after.clear();
        // A list with an older revision comes from a store that lags behind, and is discarded.
        if (page.revision < m_revision) {
            m_listed.clear();
            return {};
        }
        m_revision = page.revision;
        m_watching = true;
        m_confirmedAt = m_listSince;
        return { true, std::exchange(m_listed, {}), {} };
    }

    follower_news<Value> accept(store_changes<Value>&& changes, instant now)
    {
        succeed();
        m_revision = std::max(m_revision, changes.revision);
        if (m_confirmedAt)
            m_confirmedAt = std::max(*m_confirmedAt, now - watchBlindness);
        if (!changes.entries.empty())
            m_pausedUntil = now + m_pace;
        return { false, std::move(changes.entries), {} };
    }

    follower_news<Value> accept(store_history_lost&&, instant)
    {
        listAgain();
        return { false, {}, "the store no longer has the history of changes" };
    }

    follower_news<Value> accept(store_read_failed&& failed, instant now)
    {
        const auto pause = firstPause * (1 << std::min(m_failures, maxPauseDoublings));
        m_pausedUntil = now + std::min<duration>(pause, longestEventGap);
        ++m_failures;
        m_sound = false;
        listAgain();
        return { false, {}, std::move(failed.reason) };
    }

    void succeed()
    {
        m_failures = 0;
        m_sound = true;
    }

    void listAgain()
    {
        m_watching = false;
        m_after.clear();
        m_listed.clear();
    }

    bool m_reading = false;
    bool m_watching = false;
    std::string m_after;
    std::vector<store_entry<Value>> m_listed;
    std::uint64_t m_revision = 0;
    int m_failures = 0;
    instant m_readSince;
    instant m_listSince;
    instant m_pausedUntil;
    duration m_pace {};
    std::optional<instant> m_confirmedAt;
    bool m_sound = false;
};

} // namespace kumquat::router
