#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat::router {

// Splits a stream of server-sent events into complete events, so that a caller never receives part of one. If the stream
// is resumed at another upstream, events that were returned before are dropped by their id.
class stream_assembler {
public:
    // Returns the events that these bytes complete, unchanged. Events that were returned before are left out.
    std::string feed(std::string_view bytes);
    // Discards a partial event, before another attempt delivers the same stream again.
    void discardPartialEvent();
    // The id of the last event that was returned.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    // The last event has arrived only in part.
    bool hasPartialEvent() const { return !m_buffer.empty(); }
    // How many bytes of an incomplete event have arrived.
    std::size_t partialEventBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
    // No event ends before this position.
    std::size_t m_searchOffset = 0;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace kumquat::router
