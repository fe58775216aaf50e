#pragma once

#include "core/http_message.h"

#include <memory>
#include <string_view>

namespace kumquat {

// Size limits of one request: its request line and headers, and its body without transfer coding.
struct http_read_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4 << 20;
    // A field needs more memory than its bytes: 64 for a short one.
    std::size_t maxHeaderFields = 4096;
};

// Parses one HTTP/1.1 request from the bytes of a connection. A request with ambiguous or invalid framing is refused.
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

    // Consumes bytes up to the end of the request. Returns how many were consumed.
    std::size_t feed(std::string_view);
    state current() const;
    // The head is complete and carries "Expect: 100-continue": the sender waits for the interim answer 100 before it sends
    // the body.
    bool awaitsContinue() const;
    // Moves the complete request out of the reader.
    http_request take();
    // The memory that the request occupies so far.
    std::size_t heldBytes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
