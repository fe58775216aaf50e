#include "bench/harness/head_forms.h"

#include "core/routing_config.h"
#include "drivers/asio/client_connection.h"
#include "drivers/asio/server_connection.h"
#include "platform/answer_codec.h"
#include "platform/request_codec.h"
#include "servers/router/stream_assembler.h"

#include <cstdio>
#include <cstdlib>

namespace kumquat_bench {

namespace {

    using namespace kumquat;

    // Checks that an input was read to its end as it was meant, since one that is refused early costs nothing.
    void require(bool holds, std::string_view input)
    {
        if (holds)
            return;
        std::fprintf(stderr, "an input was not read to its end: %.120s\n", std::string(input).c_str());
        std::abort();
    }

    const routing_config& sampleConfig()
    {
        static const auto config = [] {
            routing_config made;
            route item;
            item.host = "h";
            item.pathPrefix = "/read/";
            made.addRoute(item);
            return made;
        }();
        return config;
    }

    // What a router does with a request before it knows whether it serves it.
    void handle(http_request&& request, std::string_view input)
    {
        const auto decoded = platform::decodeRequest(std::move(request));
        require(errorOf(decoded) == nullptr, input);
        sampleConfig().match(valueOf(decoded).host, valueOf(decoded).path);
    }

    // Reads requests in pieces of a size, and answers each with a short refusal.
    void readRequests(std::string_view input, std::size_t pieceBytes)
    {
        server_connection connection { instant() };
        const http_read_limits limits { .maxHeaderBytes = input.size(), .maxBodyBytes = input.size(), .maxHeaderFields = input.size() };
        std::size_t requests = 0;
        for (auto rest = input; !rest.empty(); rest.remove_prefix(std::min(pieceBytes, rest.size()))) {
            auto received = connection.receive(rest.substr(0, pieceBytes), limits, instant());
            while (auto* request = std::get_if<http_request>(&received)) {
                ++requests;
                handle(std::move(*request), input);
                connection.beginAnswer({ 404, {}, 0, true }, true);
                connection.finishAnswer(instant());
                connection.markSent(connection.unsent().size(), instant());
                received = connection.readOn(limits, instant());
            }
        }
        require(requests > 0 && connection.current() == server_connection::phase::idle && connection.waitingBytes() == 0, input);
    }

    void readAnswer(std::string_view input)
    {
        client_connection connection;
        connection.begin({ "X-Attempt-Id", "a" }, false);
        bool ended = false;
        for (auto& event : connection.receive(input)) {
            if (auto* head = std::get_if<http_answer_head>(&event))
                platform::decodeAnswer(std::move(*head));
            ended = ended || std::holds_alternative<answer_ended>(event);
        }
        require(ended, input);
    }

    std::string repeated(std::string_view item, std::size_t bytes)
    {
        std::string text;
        while (text.size() + item.size() <= bytes)
            text += item;
        return text;
    }

    constexpr std::string_view requestFields = "Host: h\r\nX-Attempt-Id: a\r\n";

    std::string request(const std::string& target, const std::string& fields, const std::string& body = "")
    {
        return (body.empty() ? "GET " : "POST ") + target + " HTTP/1.1\r\n" + std::string(requestFields) + fields + "\r\n" + body;
    }

    std::string answer(const std::string& fields, const std::string& body = "")
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n" + fields + "\r\n" + body;
    }

    // Names of two letters, all different as long as there are some.
    std::string optionNames(std::size_t bytes)
    {
        std::string names;
        for (std::size_t number = 0; names.size() + 4 <= bytes; ++number)
            names += std::string { static_cast<char>('a' + number % 26), static_cast<char>('a' + number / 26 % 26), static_cast<char>('a' + number / 676 % 26), ',' };
        return names;
    }

    // A form of one request that takes nearly all of its bytes for something.
    head_form requestForm(std::string name, std::function<std::string(std::size_t)> make)
    {
        const auto readWhole = [](std::string_view input) { readRequests(input, input.size()); };
        return { std::move(name), std::move(make), readWhole };
    }

    // A body of chunks of one byte, with the given end.
    std::string chunks(std::size_t bytes, const std::string& end) { return repeated("1\r\nx\r\n", bytes) + "0\r\n" + end + "\r\n"; }

    const std::string chunkedField = "Transfer-Encoding: chunked\r\n";

    std::vector<head_form> requestForms()
    {
        return {
            requestForm("fields", [](std::size_t bytes) { return request("/", repeated("a:\r\n", bytes)); }),
            requestForm("fields-like-known", [](std::size_t bytes) { return request("/", repeated("X-Attempt-Iz:\r\n", bytes)); }),
            requestForm("connection-options", [](std::size_t bytes) { return request("/", "Connection: " + optionNames(bytes) + "\r\n"); }),
            requestForm("options-and-fields", [](std::size_t bytes) { return request("/", "Connection: " + optionNames(bytes / 2) + "\r\n" + repeated("a:\r\n", bytes / 2)); }),
            requestForm("connection-fields", [](std::size_t bytes) { return request("/", repeated("Connection: a,b\r\n", bytes)); }),
            requestForm("prompt-parts", [](std::size_t bytes) { return request("/", "X-Prompt-Prefix: " + repeated("a:1,", bytes) + "\r\n"); }),
            requestForm("usage-counts", [](std::size_t bytes) { return request("/", "X-Token-Usage: " + repeated("1,", bytes) + "\r\n"); }),
            requestForm("spaces", [](std::size_t bytes) { return request("/", "X-Prompt-Prefix: " + repeated(" ,", bytes / 2) + "\r\nConnection: " + repeated(" ,", bytes / 2) + "\r\n"); }),
            requestForm("path", [](std::size_t bytes) { return request(repeated("/", bytes), ""); }),
            requestForm("query", [](std::size_t bytes) { return request("/?" + repeated("?", bytes), ""); }),
            requestForm("chunks", [](std::size_t bytes) { return request("/", chunkedField, chunks(bytes, "")); }),
            requestForm("trailers", [](std::size_t bytes) { return request("/", chunkedField, chunks(0, repeated("a:\r\n", bytes))); }),
            { "requests-ahead", [](std::size_t bytes) { return repeated(request("/", ""), bytes); }, [](std::string_view input) { readRequests(input, input.size()); } },
            { "byte-by-byte", [](std::size_t bytes) { return request("/", repeated("a:\r\n", bytes)); }, [](std::string_view input) { readRequests(input, 1); } },
            { "body-byte-by-byte", [](std::size_t bytes) { return request("/", repeated("a:\r\n", bytes / 2) + "Content-Length: " + std::to_string(bytes / 2) + "\r\n", std::string(bytes / 2, 'x')); }, [](std::string_view input) { readRequests(input, 1); } },
        };
    }

    std::vector<head_form> answerForms()
    {
        return {
            // An answer with more fields than 512 is refused, so each is as long as this number of them fills the head.
            { "answer-fields", [](std::size_t bytes) { return answer(repeated("a:" + std::string(31, 'b') + "\r\n", bytes) + "Content-Length: 0\r\n"); }, readAnswer },
            { "answer-chunks", [](std::size_t bytes) { return answer(chunkedField, chunks(bytes, "")); }, readAnswer },
            { "answer-trailers", [](std::size_t bytes) { return answer(chunkedField, chunks(0, repeated("a:\r\n", bytes))); }, readAnswer },
            { "interim-answers", [](std::size_t bytes) { return repeated("HTTP/1.1 102 x\r\n\r\n", bytes) + answer("Content-Length: 0\r\n"); }, readAnswer },
            { "skipped-answers", [](std::size_t bytes) { return repeated("HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n", bytes) + answer("Content-Length: 0\r\n"); }, readAnswer },
            { "events", [](std::size_t bytes) { return repeated("id:1\n\n", bytes); }, [](std::string_view input) { router::stream_assembler().feed(input); } },
            { "event-byte-by-byte", [](std::size_t bytes) { return repeated("d\n", bytes); },
                [](std::string_view input) {
                    router::stream_assembler assembler;
                    for (std::size_t position = 0; position < input.size(); ++position)
                        assembler.feed(input.substr(position, 1));
                } },
        };
    }

} // namespace

std::vector<head_form> headForms()
{
    auto forms = requestForms();
    for (auto& form : answerForms())
        forms.push_back(std::move(form));
    return forms;
}

} // namespace kumquat_bench
