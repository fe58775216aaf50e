#pragma once

#include <string_view>

namespace kumquat::router {

// Whether a stream of server-sent events, of which all bytes are fed, is between two events.
class event_boundary {
public:
    void feed(std::string_view bytes)
    {
        for (const char byte : bytes) {
            const bool endsLine = byte == '\n';
            const bool isPartOfLine = !endsLine && byte != '\r';
            m_isInEvent = isPartOfLine || (m_isInEvent && !(endsLine && m_lineIsEmpty));
            m_lineIsEmpty = endsLine || (m_lineIsEmpty && !isPartOfLine);
        }
    }

    bool isBetweenEvents() const { return !m_isInEvent; }

private:
    bool m_isInEvent = false;
    bool m_lineIsEmpty = true;
};

} // namespace kumquat::router
