#include "drivers/http_parser/answer_reader.h"

#include "drivers/http_parser/head_scanner.h"

#include <climits>
#include <http_parser.h>
#include <optional>

namespace kumquat {

namespace {

    // An answer whose status line and headers are larger than this is malformed.
    constexpr std::size_t maxAnswerHeadBytes = 65536;

} // namespace

struct answer_reader::implementation {
    http_parser parser {};
    std::optional<head_scanner> head;
    http_answer_head answer;
    // The parser's last callback delivered a header value, so the next header name starts a new header.
    bool valueFollows = false;
    bool headParsed = false;
    bool toHeadRequest = false;
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

    template <typename Implementation>
    http_parser_settings makeCallbacks()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            auto& owner = *static_cast<Implementation*>(parser->data);
            if (owner.valueFollows || owner.answer.headers.empty())
                owner.answer.headers.emplace_back();
            owner.valueFollows = false;
            owner.answer.headers.back().name.append(at, size);
            return 0;
        };
        callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            auto& owner = *static_cast<Implementation*>(parser->data);
            owner.valueFollows = true;
            owner.answer.headers.back().value.append(at, size);
            return 0;
        };
        callbacks.on_headers_complete = [](http_parser* parser) {
            auto& owner = *static_cast<Implementation*>(parser->data);
            owner.headParsed = true;
            owner.interim = parser->status_code < 200;
            if (owner.interim)
                return 0;
            owner.answer.status = static_cast<int>(parser->status_code);
            owner.answer.keepAlive = http_should_keep_alive(parser) != 0;
            if (parser->content_length != ULLONG_MAX && !(parser->flags & F_CHUNKED))
                owner.answer.contentLength = parser->content_length;
            owner.parts->emplace_back(std::move(owner.answer));
            return owner.toHeadRequest ? 1 : 0;
        };
        callbacks.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            static_cast<Implementation*>(parser->data)->parts->emplace_back(answer_body_bytes { { at, size } });
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* parser) {
            auto& owner = *static_cast<Implementation*>(parser->data);
            if (!owner.interim) {
                owner.complete = true;
                owner.parts->emplace_back(answer_body_end {});
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
    head.emplace();
    answer = {};
    valueFollows = false;
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

void answer_reader::restart(bool toHeadRequest)
{
    m_implementation->startMessage();
    m_implementation->toHeadRequest = toHeadRequest;
    m_implementation->complete = false;
    m_implementation->malformed = false;
}

std::size_t answer_reader::feed(std::string_view bytes, std::vector<answer_part>& parts)
{
    auto& self = *m_implementation;
    self.parts = &parts;
    std::size_t taken = 0;
    while (taken < bytes.size() && !self.complete && !self.malformed) {
        const auto rest = bytes.substr(taken);
        if (self.headParsed) {
            taken += self.parse(rest.data(), rest.size());
            continue;
        }
        taken += self.head->feed(rest, maxAnswerHeadBytes);
        if (self.head->current() == head_scanner::state::incomplete)
            break;
        if (self.head->current() != head_scanner::state::complete) {
            self.malformed = true;
            break;
        }
        self.parse(self.head->text().data(), self.head->text().size());
        if (self.interim && !self.malformed)
            self.startMessage();
    }
    return taken;
}

void answer_reader::feedEnd(std::vector<answer_part>& parts)
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

} // namespace kumquat
