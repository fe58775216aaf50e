#include "servers/router/stream_assembler.h"

#include <charconv>

namespace kumquat::router {

namespace {

    constexpr std::string_view idField = "id:";
    // A buffer that has grown beyond this for one large event is not kept for the rest of the stream, since only what is in it counts
    // in the memory of connections.
    constexpr std::size_t maxSpareBytes = 4096;

    // Returns the numeric id of an event, or nothing if it has none.
    std::optional<std::uint64_t> eventId(std::string_view event)
    {
        for (std::size_t start = 0; start < event.size();) {
            auto end = event.find('\n', start);
            if (end == std::string_view::npos)
                end = event.size();
            auto line = event.substr(start, end - start);
            start = end + 1;
            if (!line.starts_with(idField))
                continue;
            line.remove_prefix(idField.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                return id;
        }
        return std::nullopt;
    }

    // Returns the position after the empty line that ends the next event, or npos.
    std::size_t findEventEnd(std::string_view bytes, std::size_t searchFrom)
    {
        for (auto newline = bytes.find('\n', searchFrom); newline != std::string_view::npos; newline = bytes.find('\n', newline + 1)) {
            auto next = newline + 1;
            if (next < bytes.size() && bytes[next] == '\r')
                ++next;
            if (next < bytes.size() && bytes[next] == '\n')
                return next + 1;
        }
        return std::string_view::npos;
    }

} // namespace

std::string stream_assembler::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::string completeEvents;
    std::size_t start = 0;
    auto searchFrom = m_searchOffset;
    for (auto end = findEventEnd(m_buffer, searchFrom); end != std::string::npos; end = findEventEnd(m_buffer, searchFrom)) {
        const auto event = std::string_view(m_buffer).substr(start, end - start);
        const auto id = eventId(event);
        const bool alreadyDelivered = id && m_lastId && *id <= *m_lastId;
        if (!alreadyDelivered)
            completeEvents.append(event);
        if (id && !alreadyDelivered)
            m_lastId = id;
        start = end;
        searchFrom = end;
    }
    m_buffer.erase(0, start);
    if (m_buffer.capacity() > maxSpareBytes && m_buffer.size() < m_buffer.capacity() / 4)
        m_buffer.shrink_to_fit();
    // The empty line at the end of an event may be split between two calls.
    m_searchOffset = m_buffer.size() < 2 ? 0 : m_buffer.size() - 2;
    return completeEvents;
}

void stream_assembler::discardPartialEvent()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_searchOffset = 0;
}

} // namespace kumquat::router
