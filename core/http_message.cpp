#include "core/http_message.h"

#include <algorithm>
#include <charconv>

namespace kumquat {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return endpoint { std::string(text.substr(0, colon)), port };
}

std::string formatEndpoint(const endpoint& address)
{
    return address.host + ":" + std::to_string(address.port);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

const std::string* findHeader(const http_headers& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "";
    }
}

} // namespace kumquat
