#include "drivers/http_parser/head_scanner.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";

    bool isWellFormedLine(std::string_view line, bool isStartLine)
    {
        if (std::any_of(line.begin(), line.end(), [](char character) { return character == '\r' || character == '\n' || character == '\0'; }))
            return false;
        if (isStartLine)
            return !line.empty();
        // The name ends at the colon, and has no space, also not before it: a folded line is refused too.
        const auto nameEnd = std::find_if(line.begin(), line.end(), [](char character) { return character == ':' || character == ' ' || character == '\t'; });
        return nameEnd != line.end() && nameEnd != line.begin() && *nameEnd == ':';
    }

} // namespace

std::size_t head_scanner::findEnd(std::string_view bytes) const
{
    constexpr auto overlap = headEnd.size() - 1;
    // The end may have begun in the bytes before.
    const auto before = std::string_view(m_text).substr(m_text.size() - std::min(m_text.size(), overlap));
    const auto seam = std::string(before).append(bytes.substr(0, overlap));
    if (const auto position = seam.find(headEnd); position != std::string::npos)
        return position + headEnd.size() - before.size();
    const auto position = bytes.find(headEnd);
    return position == std::string_view::npos ? position : position + headEnd.size();
}

std::size_t head_scanner::feed(std::string_view bytes, std::size_t maxBytes)
{
    // Many other requests may follow the head; only bytes that it may have are looked at.
    const auto room = maxBytes + 1 - std::min(m_text.size(), maxBytes);
    const auto end = findEnd(bytes.substr(0, room));
    const auto consumed = std::min({ end, room, bytes.size() });
    m_text.append(bytes.substr(0, consumed));
    if (m_text.size() > maxBytes)
        m_state = state::too_large;
    else if (end != std::string_view::npos)
        validateLines();
    return consumed;
}

void head_scanner::validateLines()
{
    std::string_view rest(m_text);
    rest.remove_suffix(2);
    bool isStartLine = true;
    while (!rest.empty()) {
        const auto end = rest.find("\r\n");
        if (!isWellFormedLine(rest.substr(0, end), isStartLine)) {
            m_state = state::malformed;
            return;
        }
        isStartLine = false;
        rest.remove_prefix(end + 2);
    }
    m_state = state::complete;
}

} // namespace kumquat
