#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat::router {

// Cuts a stream of server-sent events into whole events, so that a caller never receives part of one.
class stream_assembler {
public:
    // Returns the whole events that these bytes complete, as they came. Events that were
    // returned before are left out.
    std::string feed(std::string_view bytes);
    // Starts over with another run of the same stream; the events that were delivered are left out.
    void restart();
    // The id of the last event that was returned.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    // The last event has come only in part.
    bool midEvent() const { return !m_pending.empty(); }

private:
    std::string m_pending;
    std::size_t m_searched = 0;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace kumquat::router
