#include "drivers/http_parser/request_reader.h"

#include <catch2/catch.hpp>
#include <string>

using namespace kumquat;
using state = request_reader::state;

namespace {

state stateAfter(const std::string& text)
{
    request_reader reader({ 1024, 64 });
    reader.feed(text);
    return reader.current();
}

std::string post(const std::string& headers, const std::string& body = {})
{
    return "POST /a/b HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

} // namespace

TEST_CASE("a request gives the same result when it is fed byte by byte and at once", "[http]")
{
    const auto text = post("Content-Length: 5\r\nX-A: 1\r\n", "hello") + "GET /next";
    request_reader atOnce({ 1024, 64 });
    CHECK(atOnce.feed(text) == text.size() - 9);
    REQUIRE(atOnce.current() == state::complete);
    request_reader incremental({ 1024, 64 });
    std::size_t consumed = 0;
    while (incremental.current() == state::reading)
        consumed += incremental.feed(std::string_view(text).substr(consumed, 1));
    CHECK(consumed == text.size() - 9);
    const auto requestAtOnce = atOnce.take();
    const auto requestIncremental = incremental.take();
    CHECK(requestAtOnce.method == "POST");
    CHECK(requestAtOnce.target == "/a/b");
    CHECK(requestAtOnce.body == "hello");
    CHECK(*findHeader(requestAtOnce.headers, "x-a") == "1");
    CHECK(requestIncremental.body == requestAtOnce.body);
    CHECK(requestIncremental.headers.size() == requestAtOnce.headers.size());
}

TEST_CASE("a chunked body is decoded, and bytes after it are not consumed", "[http]")
{
    const auto text = post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n") + "XY";
    request_reader reader({ 1024, 64 });
    CHECK(reader.feed(text) == text.size() - 2);
    REQUIRE(reader.current() == state::complete);
    CHECK(reader.take().body == "abcde");
}

TEST_CASE("ambiguous or invalid framing is malformed and HTTP/1.0 is unsupported", "[http]")
{
    CHECK(stateAfter(post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")) == state::malformed);
    CHECK(stateAfter(post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd")) == state::malformed);
    CHECK(stateAfter(post("Content-Length: -1\r\n")) == state::malformed);
    CHECK(stateAfter(post("Content-Length: +3\r\n", "abc")) == state::malformed);
    CHECK(stateAfter(post("Content-Length : 3\r\n", "abc")) == state::malformed);
    CHECK(stateAfter(post("X-A: 1\r\n folded\r\n")) == state::malformed);
    CHECK(stateAfter("POST / HTTP/1.1\nHost: h\n\n\r\n\r\n") == state::malformed);
    CHECK(stateAfter(post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")) == state::malformed);
    CHECK(stateAfter("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n") == state::malformed);
    CHECK(stateAfter("GET / HTTP/1.0\r\nHost: a\r\n\r\n") == state::version_unsupported);
}

// Guards against lines that are not checked, since they follow a head without a line.
TEST_CASE("a request that begins with empty lines is malformed", "[http]")
{
    CHECK(stateAfter("\r\n\r\nGET / HTTP/1.1\nHost: h\n\n") == state::malformed);
    CHECK(stateAfter("\r\n\r\n") == state::malformed);
    CHECK(stateAfter("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") == state::malformed);
}

TEST_CASE("heads and bodies above the limits are refused, also by their announced length", "[http]")
{
    CHECK(stateAfter(post("Content-Length: 99999999999\r\n")) == state::body_too_large);
    CHECK(stateAfter(post("Content-Length: 65\r\n")) == state::body_too_large);
    CHECK(stateAfter(post("X-Long: " + std::string(2000, 'x') + "\r\n")) == state::header_too_large);
    CHECK(stateAfter(post("Transfer-Encoding: chunked\r\n", "50\r\n" + std::string(80, 'x') + "\r\n0\r\n\r\n")) == state::body_too_large);
}

// Guards against heads of legal size whose fields need many times their bytes.
TEST_CASE("more fields than the limit are refused, and the memory of fields counts", "[http]")
{
    std::string fields;
    for (int number = 0; number < 3; ++number)
        fields += "a:\r\n";
    request_reader atLimit({ 1024, 64, 4 });
    atLimit.feed(post(fields));
    CHECK(atLimit.current() == state::complete);
    CHECK(atLimit.heldBytes() >= 4 * sizeof(http_header));
    request_reader beyond({ 1024, 64, 3 });
    beyond.feed(post(fields));
    CHECK(beyond.current() == state::header_too_large);
}

TEST_CASE("a request with Expect: 100-continue waits for permission before its body", "[http]")
{
    request_reader reader({ 1024, 64 });
    reader.feed(post("Expect: 100-continue\r\nContent-Length: 2\r\n"));
    CHECK(reader.awaitsContinue());
    reader.feed("ab");
    CHECK(reader.current() == state::complete);
}

// Guards against callers that fill the memory with trailer fields, which nobody reads and no account counts.
TEST_CASE("trailer fields are dropped as they come", "[http]")
{
    request_reader reader({ 1024, 64 });
    reader.feed(post("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n"));
    REQUIRE(reader.current() == state::reading);
    const auto heldBytes = reader.heldBytes();
    for (int field = 0; field < 500; ++field)
        reader.feed("X-Trailer-" + std::to_string(field) + ": " + std::string(80, 'x') + "\r\n");
    REQUIRE(reader.current() == state::reading);
    CHECK(reader.heldBytes() == heldBytes);
    reader.feed("\r\n");
    REQUIRE(reader.current() == state::complete);
    const auto request = reader.take();
    CHECK(request.headers.size() == 2);
    CHECK(request.body == "ab");
}

TEST_CASE("a trailer section without an end is refused", "[http]")
{
    request_reader reader({ 1024, 64 });
    reader.feed(post("Transfer-Encoding: chunked\r\n", "0\r\n"));
    for (int field = 0; field < 2000 && reader.current() == state::reading; ++field)
        reader.feed("X-Trailer: " + std::string(80, 'x') + "\r\n");
    CHECK(reader.current() == state::malformed);
}
