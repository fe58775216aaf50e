#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

// A whole request as it was read from a connection. The body has lost its transfer coding.
struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    // The sender expects the connection to stay open after the answer.
    bool keepAlive = true;
    // The sender understands the chunked transfer coding.
    bool acceptsChunked = true;
};

// The status line and headers of an answer.
struct http_answer_head {
    int status = 0;
    http_headers headers;
    // Absent if the body is sent in chunks or ends with its connection.
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = true;
};

// An IPv4 address and port to connect to.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

// Parses "1.2.3.4:80"; nothing if the text is not an address and port.
std::optional<endpoint> parseEndpoint(std::string_view);
std::string formatEndpoint(const endpoint&);

bool equalsIgnoringCase(std::string_view, std::string_view);
// Returns the value of the first header of that name, or null.
const std::string* findHeader(const http_headers&, std::string_view name);
// Returns the standard phrase for a status code, or an empty text.
std::string_view reasonPhrase(int status);

} // namespace kumquat
