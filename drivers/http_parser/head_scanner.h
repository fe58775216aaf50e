#pragma once

#include <string>
#include <string_view>

namespace kumquat {

// Collects the head of a message and refuses the spellings that two parsers could read differently: bare line feeds,
// folded lines, and spaces before the colon of a header.
class head_scanner {
public:
    enum class state { incomplete,
        complete,
        malformed,
        too_large };

    // Takes bytes up to the end of the head. Returns how many were taken.
    std::size_t feed(std::string_view bytes, std::size_t limitBytes);
    state current() const { return m_state; }
    // The head with its closing empty line.
    const std::string& text() const { return m_text; }

private:
    void check();

    std::string m_text;
    state m_state = state::incomplete;
};

} // namespace kumquat
