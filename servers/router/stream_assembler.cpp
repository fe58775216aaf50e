#include "servers/router/stream_assembler.h"

#include <charconv>

namespace kumquat::router {

namespace {

    constexpr std::string_view idField = "id:";

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
    std::size_t findEventEnd(std::string_view bytes, std::size_t from)
    {
        for (auto at = bytes.find('\n', from); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
            auto next = at + 1;
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
    m_pending.append(bytes);
    std::string whole;
    std::size_t start = 0;
    auto from = m_searched;
    for (auto end = findEventEnd(m_pending, from); end != std::string::npos; end = findEventEnd(m_pending, from)) {
        const auto event = std::string_view(m_pending).substr(start, end - start);
        const auto id = eventId(event);
        const bool delivered = id && m_lastId && *id <= *m_lastId;
        if (!delivered)
            whole.append(event);
        if (id && !delivered)
            m_lastId = id;
        start = end;
        from = end;
    }
    m_pending.erase(0, start);
    // The empty line at the end of an event may be split between two calls.
    m_searched = m_pending.size() < 2 ? 0 : m_pending.size() - 2;
    return whole;
}

void stream_assembler::restart()
{
    m_pending.clear();
    m_searched = 0;
}

} // namespace kumquat::router
