#pragma once

#include <string>
#include <string_view>

namespace kumquat {

constexpr std::string_view eventDataPrefix = "data: ";

// Incremental parser of a stream of server-sent events. It passes the content of each data line to a consumer, ignores
// other lines, and buffers an incomplete line until the next call.
class event_splitter {
public:
    // Calls consume(std::string) for each data line that the bytes complete.
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
