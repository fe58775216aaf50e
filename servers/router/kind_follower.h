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

// What a follower wants to read next.
struct store_reading {
    std::string after;
    // Absent for a list.
    std::optional<std::uint64_t> sinceRevision;
};

// News of one kind of object. A snapshot replaces all that was known.
template <typename Value>
struct follower_news {
    bool snapshot = false;
    std::vector<store_entry<Value>> entries;
    // Why the read failed; empty if it did not.
    std::string failure;
};

// Follows the objects of one kind: lists them, then watches from the revision of the list. A lost history or a failed
// read leads back to a list.
template <typename Value>
class kind_follower {
public:
    // Returns what to read now, or nothing while a read is in progress or a pause after a failure lasts.
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

    follower_news<Value> onOutcome(store_read_outcome<Value>&& outcome, instant now)
    {
        m_reading = false;
        return std::visit([&](auto& read) { return accept(std::move(read), now); }, outcome);
    }

    // How long to wait after changes before watching for more, so that changes in a row come in one answer.
    void setPace(duration pace) { m_pace = pace; }

    // Reads all again, though nothing is known to be wrong with what was read.
    void listAfresh()
    {
        m_reading = false;
        listAgain();
    }

    // Forgets that anything was confirmed, and reads all again.
    void startOver()
    {
        m_reading = false;
        m_confirmedAt.reset();
        listAgain();
    }

    // When the next read may start, if a pause lasts.
    std::optional<instant> pausedUntil() const
    {
        if (m_reading)
            return std::nullopt;
        return m_pausedUntil;
    }

    // The last moment at which the store is known to have had nothing newer than what was reported.
    std::optional<instant> confirmedAt() const { return m_confirmedAt; }
    // The last read was answered.
    bool sound() const { return m_sound; }
    std::uint64_t revision() const { return m_revision; }

private:
    // A watch may have missed changes of this much time before its answer.
    static constexpr auto watchBlindness = std::chrono::seconds(1);
    static constexpr auto firstPause = std::chrono::milliseconds(100);
    static constexpr auto longestPause = std::chrono::milliseconds(800);
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
        // A list that is older than what is known comes from a store that lags.
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
        return { false, {}, "history lost" };
    }

    follower_news<Value> accept(store_read_failed&& failed, instant now)
    {
        const auto pause = firstPause * (1 << std::min(m_failures, maxPauseDoublings));
        m_pausedUntil = now + std::min<duration>(pause, longestPause);
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
