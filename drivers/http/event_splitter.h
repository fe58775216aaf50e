#pragma once

#include <string>
#include <string_view>

namespace kumquat {

constexpr std::string_view eventDataPrefix = "data: ";

// Splits a byte stream into server-sent events and hands out their data.
class event_splitter {
public:
    template <typename Consumer>
    void feed(const char* bytes, std::size_t size, Consumer&& consume)
    {
        m_buffer.append(bytes, size);
        std::size_t start = 0;
        for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', start)) {
            std::string_view line(m_buffer.data() + start, end - start);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            if (line.starts_with(eventDataPrefix))
                consume(std::string(line.substr(eventDataPrefix.size())));
            start = end + 1;
        }
        m_buffer.erase(0, start);
    }

private:
    std::string m_buffer;
};

} // namespace kumquat
