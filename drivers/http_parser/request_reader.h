#pragma once

#include "core/http_message.h"

#include <memory>
#include <string_view>

namespace kumquat {

struct http_read_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4 << 20;
};

// Reads one request from a connection. A request whose framing is in any doubt is refused.
class request_reader {
public:
    enum class state { reading,
        complete,
        malformed,
        header_too_large,
        body_too_large,
        version_unsupported };

    explicit request_reader(http_read_limits);
    ~request_reader();

    // Takes bytes up to the end of the request. Returns how many were taken.
    std::size_t feed(std::string_view);
    state current() const;
    // The head is complete and its sender waits for permission to send the body.
    bool awaitsContinue() const;
    // The complete request; it leaves the reader.
    http_request take();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
