#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat::router {

// Splits a stream of server-sent events into complete events, so that a caller never receives part of one, and joins what several
// attempts send into one stream. The first attempt is passed on unchanged. A later one is asked to go on after the last id; what it sends
// is joined only where its ids show that it belongs there: events up to the last id are left out, then the next one has to follow.
class stream_assembler {
public:
    // Discards a partial event, before another attempt goes on with the stream.
    void beginAttempt();
    // Returns the events that these bytes complete, unchanged, as far as they belong to the stream.
    std::string feed(std::string_view bytes);
    // Why the events of this attempt can't be joined to those before it, or null. Nothing of the attempt has been returned then.
    const char* mismatch() const { return m_mismatch; }
    // The id of the last event that was returned.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    // Another attempt can go on after the last id: no event without id came after it, and the ids have risen.
    bool canGoOn() const { return !m_endsUnnumbered && m_idsRise; }
    // Whether the stream is complete if the attempt ends now, with an explicit end (by length or chunks) or with its connection. Only an
    // explicit end tells that an upstream has nothing to add to events that the caller has; `callerHasEvents` states that it has some from
    // an earlier request.
    bool isComplete(bool endIsExplicit, bool callerHasEvents) const;
    // How many bytes of an incomplete event have arrived.
    std::size_t partialEventBytes() const { return m_buffer.size(); }

private:
    bool accepts(std::string_view event);
    void record(std::optional<std::uint64_t> id);
    bool leavesGap(std::uint64_t id) const;

    std::string m_buffer;
    // No event ends before this position.
    std::size_t m_searchOffset = 0;
    std::optional<std::uint64_t> m_lastId;
    // This attempt has not sent the event after the last id yet.
    bool m_isJoining = false;
    // The last event of this attempt that was left out since it was returned before.
    std::optional<std::uint64_t> m_lastRepeatedId;
    // An event of this attempt, more than a comment, was returned.
    bool m_attemptHasEvent = false;
    const char* m_mismatch = nullptr;
    // The last event that was returned has no id.
    bool m_endsUnnumbered = false;
    bool m_idsRise = true;
    // Each id so far was one above the one before.
    bool m_idsCount = true;
    // The ids began with 0 or 1, or one of them was compared with the one before.
    bool m_stepIsKnown = false;
};

} // namespace kumquat::router
