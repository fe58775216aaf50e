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

// A complete request as it was read from a connection. The transfer coding has been removed from the body.
struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    // Whether the sender expects the connection to stay open after the answer.
    bool keepAlive = true;
    // Whether the answer may use the chunked transfer coding.
    bool acceptsChunked = true;
};

// The status line and headers of an answer.
struct http_answer_head {
    int status = 0;
    http_headers headers;
    // Absent if the body is sent in chunks or is terminated by the end of the connection.
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = true;
    // The body has neither a length nor chunks, so that its end can't be told from that of its sender.
    bool endsWithConnection = false;
};

// An IPv4 address and port to connect to.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

// Parses an address and port such as "1.2.3.4:80". Returns nothing if the host is empty or the port is not between 1
// and 65535; the host is not checked further.
std::optional<endpoint> parseEndpoint(std::string_view);
std::string formatEndpoint(const endpoint&);

constexpr char toLowerAscii(char character) { return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character; }
// Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view, std::string_view);
// Returns the value of the first header of that name, in any case, or null.
const std::string* findHeader(const http_headers&, std::string_view name);
// Returns the standard reason phrase of an HTTP status code, or an empty text for other codes than the product uses.
std::string_view reasonPhrase(int status);

} // namespace kumquat
