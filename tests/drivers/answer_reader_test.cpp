#include "drivers/http_parser/answer_reader.h"

#include <catch2/catch.hpp>
#include <string>

using namespace kumquat;

namespace {

// Accumulates the parts of one answer.
struct read_answer {
    int status = 0;
    std::string body;
    bool ended = false;

    void take(const std::vector<answer_part>& parts)
    {
        for (const auto& part : parts) {
            if (const auto* head = std::get_if<http_answer_head>(&part))
                status = head->status;
            if (const auto* bytes = std::get_if<answer_body_bytes>(&part))
                body += bytes->bytes;
            ended = ended || std::holds_alternative<answer_body_end>(part);
        }
    }
};

} // namespace

TEST_CASE("answers with a content length and with chunks end at their last byte", "[http]")
{
    for (const std::string text : { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n" }) {
        answer_reader reader;
        read_answer seen;
        std::vector<answer_part> parts;
        const auto received = text + "HTTP/1.1 500";
        const auto taken = reader.feed(received, parts);
        seen.take(parts);
        CHECK(taken == text.size());
        CHECK(seen.status == 200);
        CHECK(seen.body == "abcd");
        CHECK(seen.ended);
    }
}

TEST_CASE("an answer without a length ends only when the connection closes", "[http]")
{
    answer_reader reader;
    read_answer seen;
    std::vector<answer_part> parts;
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc", parts);
    seen.take(parts);
    CHECK(seen.body == "abc");
    CHECK_FALSE(seen.ended);
    parts.clear();
    reader.feedEnd(parts);
    seen.take(parts);
    CHECK(seen.ended);
}

TEST_CASE("a connection closed before the content length is reached leaves the answer unfinished", "[http]")
{
    answer_reader reader;
    std::vector<answer_part> parts;
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", parts);
    parts.clear();
    reader.feedEnd(parts);
    CHECK(parts.empty());
}

TEST_CASE("interim answers are skipped, and garbage or ambiguous framing is malformed", "[http]")
{
    answer_reader reader;
    read_answer seen;
    std::vector<answer_part> parts;
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", parts);
    seen.take(parts);
    CHECK(seen.status == 204);
    CHECK(seen.ended);

    answer_reader other;
    parts.clear();
    other.feed("garbage\r\n\r\n", parts);
    CHECK(other.malformed());
    answer_reader both;
    parts.clear();
    both.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", parts);
    CHECK(both.malformed());
}
