#include "drivers/http_parser/answer_reader.h"

#include "drivers/http_parser/head_scanner.h"

#include <climits>
#include <http_parser.h>
#include <optional>

namespace kumquat {

namespace {

    // An answer whose status line and headers are larger than this is malformed.
    constexpr std::size_t maxAnswerHeadBytes = 65536;
    // So is one with more headers. Each occupies many times the four bytes of the shortest one.
    constexpr std::size_t maxAnswerHeaders = 512;

} // namespace

struct answer_reader::implementation {
    http_parser parser {};
    std::optional<head_scanner> headScanner;
    http_answer_head answerHead;
    // The parser's last callback delivered a header value, so the next header name starts a new header.
    bool lastWasValue = false;
    bool headParsed = false;
    bool isHeadRequest = false;
    // The current head has a status of 1xx and precedes the final answer.
    bool interim = false;
    bool complete = false;
    bool malformed = false;
    std::vector<answer_part>* parts = nullptr;

    // Returns how many bytes belong to the answer. A size of zero signals the end of the connection.
    std::size_t parse(const char* bytes, std::size_t size);
    void startMessage();
};

namespace {

    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;

    bool hasBody(int status)
    {
        return status != statusNoContent && status != statusNotModified;
    }

    template <typename Implementation>
    http_parser_settings makeCallbacks()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_header_field = [](http_parser* parser, const char* bytes, std::size_t size) {
            auto& reader = *static_cast<Implementation*>(parser->data);
            // Trailers are of no use to the receiver.
            if (reader.headParsed)
                return 0;
            const bool beginsHeader = reader.lastWasValue || reader.answerHead.headers.empty();
            if (beginsHeader && reader.answerHead.headers.size() == maxAnswerHeaders)
                return 1;
            if (beginsHeader)
                reader.answerHead.headers.emplace_back();
            reader.lastWasValue = false;
            reader.answerHead.headers.back().name.append(bytes, size);
            return 0;
        };
        callbacks.on_header_value = [](http_parser* parser, const char* bytes, std::size_t size) {
            auto& reader = *static_cast<Implementation*>(parser->data);
            if (reader.headParsed)
                return 0;
            reader.lastWasValue = true;
            reader.answerHead.headers.back().value.append(bytes, size);
            return 0;
        };
        callbacks.on_headers_complete = [](http_parser* parser) {
            auto& reader = *static_cast<Implementation*>(parser->data);
            reader.headParsed = true;
            reader.interim = parser->status_code < 200;
            if (reader.interim)
                return 0;
            reader.answerHead.status = static_cast<int>(parser->status_code);
            reader.answerHead.keepAlive = http_should_keep_alive(parser) != 0;
            const bool hasLength = parser->content_length != ULLONG_MAX;
            const bool isChunked = (parser->flags & F_CHUNKED) != 0;
            if (hasLength && !isChunked)
                reader.answerHead.contentLength = parser->content_length;
            reader.answerHead.endsWithConnection = !hasLength && !isChunked && hasBody(reader.answerHead.status) && !reader.isHeadRequest;
            reader.parts->emplace_back(std::move(reader.answerHead));
            return reader.isHeadRequest ? 1 : 0;
        };
        callbacks.on_body = [](http_parser* parser, const char* bytes, std::size_t size) {
            static_cast<Implementation*>(parser->data)->parts->emplace_back(answer_body_bytes { { bytes, size } });
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* parser) {
            auto& reader = *static_cast<Implementation*>(parser->data);
            if (!reader.interim) {
                reader.complete = true;
                reader.parts->emplace_back(answer_body_end {});
            }
            http_parser_pause(parser, 1);
            return 0;
        };
        return callbacks;
    }

} // namespace

answer_reader::answer_reader()
    : m_implementation(std::make_unique<implementation>())
{
    restart(false);
}

answer_reader::~answer_reader() = default;

void answer_reader::implementation::startMessage()
{
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    headScanner.emplace();
    answerHead = {};
    lastWasValue = false;
    headParsed = false;
    interim = false;
}

std::size_t answer_reader::implementation::parse(const char* bytes, std::size_t size)
{
    static const auto callbacks = makeCallbacks<implementation>();
    const auto parsed = http_parser_execute(&parser, &callbacks, bytes, size);
    const auto failure = HTTP_PARSER_ERRNO(&parser);
    if (failure != HPE_OK && failure != HPE_PAUSED)
        malformed = true;
    return parsed;
}

void answer_reader::restart(bool isHeadRequest)
{
    m_implementation->startMessage();
    m_implementation->isHeadRequest = isHeadRequest;
    m_implementation->complete = false;
    m_implementation->malformed = false;
}

std::size_t answer_reader::feed(std::string_view bytes, std::vector<answer_part>& parts)
{
    auto& self = *m_implementation;
    self.parts = &parts;
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !self.complete && !self.malformed) {
        const auto rest = bytes.substr(consumed);
        if (self.headParsed) {
            consumed += self.parse(rest.data(), rest.size());
            continue;
        }
        consumed += self.headScanner->feed(rest, maxAnswerHeadBytes);
        if (self.headScanner->current() == head_scanner::state::incomplete)
            break;
        if (self.headScanner->current() != head_scanner::state::complete) {
            self.malformed = true;
            break;
        }
        self.parse(self.headScanner->text().data(), self.headScanner->text().size());
        self.headScanner.emplace();
        if (self.interim && !self.malformed)
            self.startMessage();
    }
    return consumed;
}

void answer_reader::feedEndOfStream(std::vector<answer_part>& parts)
{
    auto& self = *m_implementation;
    if (self.complete || !self.headParsed)
        return;
    self.parts = &parts;
    self.parse(nullptr, 0);
}

bool answer_reader::malformed() const
{
    return m_implementation->malformed;
}

bool answer_reader::complete() const
{
    return m_implementation->complete;
}

std::size_t answer_reader::heldBytes() const
{
    const auto& text = m_implementation->headScanner->text();
    return text.empty() ? 0 : text.capacity();
}

} // namespace kumquat
