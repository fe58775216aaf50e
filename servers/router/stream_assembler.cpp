#include "servers/router/stream_assembler.h"

#include <charconv>

namespace kumquat::router {

namespace {

    constexpr std::string_view idField = "id:";
    constexpr std::string_view dataField = "data";
    // A buffer that has grown beyond this for one large event is not kept for the rest of the stream, since only what is in it counts
    // in the memory of connections.
    constexpr std::size_t maxSpareBytes = 4096;

    struct event_fields {
        // The numeric id, if the event has one.
        std::optional<std::uint64_t> id;
        bool hasData = false;
    };

    event_fields readFields(std::string_view event)
    {
        event_fields fields;
        for (std::size_t start = 0; start < event.size();) {
            auto end = event.find('\n', start);
            if (end == std::string_view::npos)
                end = event.size();
            auto line = event.substr(start, end - start);
            start = end + 1;
            fields.hasData = fields.hasData || line.starts_with(dataField);
            if (fields.id || !line.starts_with(idField))
                continue;
            line.remove_prefix(idField.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                fields.id = id;
        }
        return fields;
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

void stream_assembler::beginAttempt()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_searchOffset = 0;
    m_isJoining = m_lastId.has_value();
    m_lastRepeatedId.reset();
    m_attemptHasEvent = false;
    m_mismatch = nullptr;
}

std::string stream_assembler::feed(std::string_view bytes)
{
    if (m_mismatch)
        return {};
    m_buffer.append(bytes);
    std::string completeEvents;
    std::size_t start = 0;
    auto searchFrom = m_searchOffset;
    for (auto end = findEventEnd(m_buffer, searchFrom); end != std::string::npos && !m_mismatch; end = findEventEnd(m_buffer, searchFrom)) {
        const auto event = std::string_view(m_buffer).substr(start, end - start);
        if (accepts(event))
            completeEvents.append(event);
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

bool stream_assembler::accepts(std::string_view event)
{
    const auto fields = readFields(event);
    const bool isComment = !fields.id && !fields.hasData;
    if (isComment)
        return !m_isJoining;
    if (m_isJoining) {
        if (!fields.id) {
            m_mismatch = "an event without id where the stream goes on";
            return false;
        }
        if (*fields.id <= *m_lastId) {
            m_lastRepeatedId = fields.id;
            return false;
        }
        if (leavesGap(*fields.id)) {
            m_mismatch = "events are missing where the stream goes on";
            return false;
        }
        m_isJoining = false;
    }
    m_attemptHasEvent = true;
    record(fields.id);
    return true;
}

void stream_assembler::record(std::optional<std::uint64_t> id)
{
    m_endsUnnumbered = !id;
    if (!id)
        return;
    if (m_lastId) {
        m_idsRise = m_idsRise && *id > *m_lastId;
        m_idsCount = m_idsCount && *id == *m_lastId + 1;
    }
    m_stepIsKnown = m_stepIsKnown || m_lastId || *id <= 1;
    m_lastId = id;
}

// Ids have only to rise, so that a step of more than one is a gap only if there was none before.
bool stream_assembler::leavesGap(std::uint64_t id) const
{
    return m_stepIsKnown && m_idsCount && id != *m_lastId + 1;
}

bool stream_assembler::isComplete(bool endIsExplicit, bool callerHasEvents) const
{
    if (!m_buffer.empty() || m_mismatch)
        return false;
    if (m_attemptHasEvent)
        return true;
    // An upstream whose stream ends earlier serves another stream.
    if (m_lastRepeatedId)
        return *m_lastRepeatedId == *m_lastId;
    return endIsExplicit && (m_lastId || callerHasEvents);
}

} // namespace kumquat::router
