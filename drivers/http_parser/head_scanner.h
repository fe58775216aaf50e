#pragma once

#include <string>
#include <string_view>

namespace kumquat {

// Buffers the head of an HTTP message (start line and headers) and refuses syntax that two parsers could interpret
// differently, which would allow request smuggling: bare line feeds, folded lines, spaces before the colon of a header, and an empty
// start line.
class head_scanner {
public:
    enum class state { incomplete,
        complete,
        malformed,
        too_large };

    // Consumes bytes up to the end of the head, or until the head is too large. Returns how many were consumed. The limit applies to the
    // complete head.
    std::size_t feed(std::string_view bytes, std::size_t maxBytes);
    state current() const { return m_state; }
    // The head with the empty line that ends it.
    const std::string& text() const { return m_text; }

private:
    // How many of the bytes belong to the head if they end it; npos if they don't.
    std::size_t findEnd(std::string_view bytes) const;
    void validateLines();

    std::string m_text;
    state m_state = state::incomplete;
};

} // namespace kumquat
