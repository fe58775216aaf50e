#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquat {

// Bytes that are appended at the end and removed from the front. What removing costs grows with the removed bytes, not with those that
// stay; and the memory it occupies falls with its content.
class byte_queue {
public:
    std::string_view view() const { return std::string_view(m_bytes).substr(m_removed); }
    std::size_t size() const { return m_bytes.size() - m_removed; }
    bool empty() const { return size() == 0; }
    // The memory that the queue occupies.
    std::size_t capacity() const { return m_bytes.capacity(); }

    // The text at whose end bytes are appended.
    std::string& tail() { return m_bytes; }
    // Removes that many bytes, at most all, from the front. Views of the queue become invalid.
    void removeFront(std::size_t count);
    void clear();

private:
    std::string m_bytes;
    // How many bytes at the front have been removed and still occupy memory.
    std::size_t m_removed = 0;
};

} // namespace kumquat
