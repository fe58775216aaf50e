#pragma once

#include "core/clock.h"
#include "core/crash_report.h"
#include "core/store_object.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat::router {

// List the refused suspects, from the page after a name on.
struct list_refusals {
    std::string after;
};

// Create or replace the object of a refused suspect.
struct save_refusal {
    aged_suspect refusal;
    bool replaces = false;
};

// Remove the object of a suspect.
struct remove_refusal {
    crash_suspect suspect;
};

using refusal_call = std::variant<list_refusals, save_refusal, remove_refusal>;

// Decides when the refused suspects are read from the store and written to it. They outlast there a moment at which all routers
// restart, and reach routers that can't hear the others. One call is in progress at a time; each may be repeated.
class refusal_store {
public:
    // The seed differs between routers, so that they don't repeat failed calls at the same time.
    explicit refusal_store(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    // Reads the list again, at most once in a while.
    void requestList() { m_listWanted = true; }
    // Reads the list again if the last one is older.
    void requestListOlderThan(duration age, instant now);
    // Writes a suspect that this router has begun to refuse; the time is that of its last crash.
    void save(const crash_suspect&, instant lastCrashAt);
    // Removes a suspect that is refused no longer.
    void remove(const crash_suspect&);
    // Writes everything again that this router has written, since the store has lost it.
    void saveAgain();

    // The call to make now, or nothing while one is in progress or none is due.
    std::optional<refusal_call> nextCall(instant now);
    // When the next call is due, or nothing if none waits or one is in progress.
    std::optional<instant> nextCallAt() const;

    // Takes the outcome of a list and returns the suspects that are refused.
    std::vector<aged_suspect> onListed(store_read_outcome<aged_suspect>&&, instant now);
    void onWritten(store_write_outcome, instant now);
    // The call in progress had no answer; it may have taken effect.
    void onTimeout(instant now);

private:
    struct pending_write {
        crash_suspect suspect;
        // Absent if the suspect's object is to be removed.
        std::optional<instant> lastCrashAt;
        bool replaces = false;
    };

    void delayAfterFailure(instant now);
    bool isListDue(instant now) const { return m_listWanted && now >= m_nextListAt; }

    std::uint64_t m_seed = 0;
    std::deque<pending_write> m_writes;
    std::vector<pending_write> m_written;
    // A router reads the list when it starts.
    bool m_listWanted = true;
    std::string m_listAfter;
    bool m_callInProgress = false;
    int m_failures = 0;
    instant m_nextCallAt;
    instant m_nextListAt;
    instant m_listedAt;
};

} // namespace kumquat::router
