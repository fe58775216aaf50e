#include "drivers/http_parser/request_reader.h"

#include "drivers/http_parser/head_scanner.h"

#include <http_parser.h>

namespace kumquat {

struct request_reader::implementation {
    http_parser parser {};
    http_read_limits limits;
    head_scanner headScanner;
    bool headParsed = false;
    // The head carries "Expect: 100-continue".
    bool expectsContinue = false;
    // The parser's last callback delivered a header value, so the next header name starts a new header.
    bool lastWasValue = false;
    state current = state::reading;
    http_request request;

    // Returns how many bytes belong to the request.
    std::size_t parse(std::string_view bytes);
    void parseHead();
};

namespace {

    template <typename Implementation>
    Implementation& readerOf(http_parser* parser)
    {
        return *static_cast<Implementation*>(parser->data);
    }

    // The parser may deliver a header's name and value in several fragments; a name after a value starts the next header.
    template <typename Implementation>
    http_parser_settings makeCallbacks()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = [](http_parser* parser, const char* bytes, std::size_t size) {
            readerOf<Implementation>(parser).request.target.append(bytes, size);
            return 0;
        };
        callbacks.on_header_field = [](http_parser* parser, const char* bytes, std::size_t size) {
            auto& reader = readerOf<Implementation>(parser);
            // Trailer fields are not forwarded, so they are dropped as they come.
            if (reader.headParsed)
                return 0;
            if (reader.lastWasValue || reader.request.headers.empty()) {
                if (reader.request.headers.size() >= reader.limits.maxHeaderFields) {
                    reader.current = request_reader::state::header_too_large;
                    return 1;
                }
                reader.request.headers.emplace_back();
            }
            reader.lastWasValue = false;
            reader.request.headers.back().name.append(bytes, size);
            return 0;
        };
        callbacks.on_header_value = [](http_parser* parser, const char* bytes, std::size_t size) {
            auto& reader = readerOf<Implementation>(parser);
            if (reader.headParsed)
                return 0;
            reader.lastWasValue = true;
            reader.request.headers.back().value.append(bytes, size);
            return 0;
        };
        callbacks.on_headers_complete = [](http_parser* parser) {
            auto& reader = readerOf<Implementation>(parser);
            reader.headParsed = true;
            const auto* expectation = findHeader(reader.request.headers, "Expect");
            reader.expectsContinue = expectation && equalsIgnoringCase(*expectation, "100-continue");
            reader.request.method = http_method_str(static_cast<http_method>(parser->method));
            reader.request.keepAlive = http_should_keep_alive(parser) != 0;
            return 0;
        };
        callbacks.on_body = [](http_parser* parser, const char* bytes, std::size_t size) {
            auto& reader = readerOf<Implementation>(parser);
            if (reader.request.body.size() + size > reader.limits.maxBodyBytes) {
                reader.current = request_reader::state::body_too_large;
                return 1;
            }
            reader.request.body.append(bytes, size);
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* parser) {
            readerOf<Implementation>(parser).current = request_reader::state::complete;
            http_parser_pause(parser, 1);
            return 0;
        };
        return callbacks;
    }

} // namespace

request_reader::request_reader(http_read_limits limits)
    : m_implementation(std::make_unique<implementation>())
{
    http_parser_init(&m_implementation->parser, HTTP_REQUEST);
    m_implementation->parser.data = m_implementation.get();
    m_implementation->limits = limits;
}

request_reader::~request_reader() = default;

void request_reader::implementation::parseHead()
{
    parse(headScanner.text());
    if (current != state::reading && current != state::complete)
        return;
    // CONNECT requests a tunnel, which this server does not support.
    if (parser.method == HTTP_CONNECT) {
        current = state::malformed;
        return;
    }
    if (parser.http_major != 1 || parser.http_minor != 1) {
        current = state::version_unsupported;
        return;
    }
    if (current == state::reading && parser.content_length != ULLONG_MAX && parser.content_length > limits.maxBodyBytes)
        current = state::body_too_large;
}

std::size_t request_reader::implementation::parse(std::string_view bytes)
{
    static const auto callbacks = makeCallbacks<implementation>();
    const auto parsed = http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
    const auto failure = HTTP_PARSER_ERRNO(&parser);
    if (failure != HPE_OK && failure != HPE_PAUSED && current == state::reading)
        current = state::malformed;
    return parsed;
}

std::size_t request_reader::feed(std::string_view bytes)
{
    auto& self = *m_implementation;
    std::size_t consumed = 0;
    if (!self.headParsed) {
        consumed = self.headScanner.feed(bytes, self.limits.maxHeaderBytes);
        if (self.headScanner.current() == head_scanner::state::malformed)
            self.current = state::malformed;
        if (self.headScanner.current() == head_scanner::state::too_large)
            self.current = state::header_too_large;
        if (self.headScanner.current() != head_scanner::state::complete)
            return consumed;
        self.parseHead();
    }
    if (self.current != state::reading || consumed == bytes.size())
        return consumed;
    return consumed + self.parse(bytes.substr(consumed));
}

request_reader::state request_reader::current() const
{
    return m_implementation->current;
}

bool request_reader::awaitsContinue() const
{
    if (!m_implementation->headParsed || m_implementation->current != state::reading)
        return false;
    return m_implementation->expectsContinue;
}

std::size_t request_reader::heldBytes() const
{
    const auto& request = m_implementation->request;
    return m_implementation->headScanner.text().capacity() + request.headers.capacity() * sizeof(http_header) + request.body.capacity();
}

http_request request_reader::take()
{
    return std::move(m_implementation->request);
}

} // namespace kumquat
