#include "platform/answer_codec.h"
#include "platform/request_codec.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace kumquat;
using namespace kumquat::platform;

namespace {

http_request sampleRequest()
{
    http_request request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.headers = { { "Host", "Shop.Example:80" }, { "X-Attempt-Id", "id-1" }, { "X-Deadline-Ms", "1500" }, { "Authorization", "Bearer secret" },
        { "X-Token-Usage", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" }, { "X-Model", "m" }, { "Last-Event-Id", "12" }, { "Resumes", "id-0" } };
    request.body = "body";
    return request;
}

proxied_request decoded(http_request request)
{
    auto outcome = decodeRequest(std::move(request));
    REQUIRE(errorOf(outcome) == nullptr);
    return valueOf(outcome);
}

} // namespace

TEST_CASE("decoding a caller's request yields its id, host, path, key, deadline and prompt", "[platform]")
{
    const auto request = decoded(sampleRequest());
    CHECK(request.requestId == "id-1");
    CHECK(request.host == "shop.example");
    CHECK(request.path == "/a/b");
    CHECK(request.target == "/a/b?c=d");
    CHECK(request.apiKey == "secret");
    CHECK(request.callerTimeout == std::chrono::milliseconds(1500));
    CHECK(request.lastEventId == 12);
    CHECK(request.resumedRequestId == "id-0");
    CHECK(request.prompt.inputTokens == 1460);
    CHECK(request.prompt.maxOutputTokens == 80);
    REQUIRE(request.prompt.parts.size() == 3);
    CHECK(request.prompt.parts[1].id == 0x91bd3f06);
    CHECK(request.prompt.parts[1].tokens == 410);
}

TEST_CASE("an encoded request carries the caller's headers and the router's, but no key, forged or connection headers", "[platform]")
{
    auto received = sampleRequest();
    received.headers.push_back({ "X-Tenant-Id", "forged" });
    received.headers.push_back({ "X-Expect-Instance", "forged" });
    received.headers.push_back({ "X-Hold", "forged" });
    received.headers.push_back({ "X-Pin-Ms", "9" });
    received.headers.push_back({ "X-Kv-Backup", "1.2.3.4:5" });
    received.headers.push_back({ "Kv-From", "1.2.3.4:5/6" });
    received.headers.push_back({ "X-Request-Priority", "0" });
    received.headers.push_back({ "Connection", "X-Private, X-Model" });
    received.headers.push_back({ "X-Private", "1" });
    received.headers.push_back({ "X-Other", "2" });
    const auto text = encodeRequest(decoded(std::move(received)), { "i-1", "org", std::chrono::milliseconds(900), 3, std::nullopt, true });
    CHECK(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    CHECK(text.ends_with("\r\n\r\nbody"));
    for (const char* line : { "Host: Shop.Example:80\r\n", "X-Attempt-Id: id-1\r\n", "X-Deadline-Ms: 900\r\n", "X-Tenant-Id: org\r\n", "X-Expect-Instance: i-1\r\n", "X-Request-Priority: 3\r\n", "Last-Event-Id: 12\r\n", "X-Model: m\r\n", "X-Other: 2\r\n", "Content-Length: 4\r\n" })
        CHECK(text.find(line) != std::string::npos);
    for (const char* word : { "secret", "forged", "X-Private", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Connection" })
        CHECK(text.find(word) == std::string::npos);
}

TEST_CASE("an encoded request for a resumed stream names the last delivered event instead of the caller's", "[platform]")
{
    const auto text = encodeRequest(decoded(sampleRequest()), { "i-1", "", std::chrono::milliseconds(900), 3, 17, false });
    CHECK(text.find("Last-Event-Id: 17\r\n") != std::string::npos);
    CHECK(text.find("Last-Event-Id: 12") == std::string::npos);
    CHECK(text.find("X-Tenant-Id") == std::string::npos);
}

TEST_CASE("requests without an id, with two hosts or with a malformed deadline are refused", "[platform]")
{
    auto noId = sampleRequest();
    std::erase_if(noId.headers, [](const http_header& header) { return header.name == "X-Attempt-Id"; });
    const auto unnamed = decodeRequest(std::move(noId));
    CHECK(errorOf(unnamed) != nullptr);
    auto twoHosts = sampleRequest();
    twoHosts.headers.push_back({ "host", "b" });
    const auto ambiguous = decodeRequest(std::move(twoHosts));
    CHECK(errorOf(ambiguous) != nullptr);
    auto badDeadline = sampleRequest();
    badDeadline.headers[2].value = "soon";
    const auto refused = decodeRequest(std::move(badDeadline));
    REQUIRE(errorOf(refused) != nullptr);
    CHECK(errorOf(refused)->message.find("soon") != std::string::npos);
}

TEST_CASE("prompt parts with a negative number of tokens are skipped", "[platform]")
{
    auto request = sampleRequest();
    std::erase_if(request.headers, [](const http_header& header) { return header.name == "X-Prompt-Prefix"; });
    request.headers.push_back({ "X-Prompt-Prefix", "a:10,b:-5,c:0" });
    const auto decoded = decodeRequest(std::move(request));
    REQUIRE(errorOf(decoded) == nullptr);
    const auto& parts = valueOf(decoded).prompt.parts;
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].tokens == 10);
    CHECK(parts[1].tokens == 0);
}

TEST_CASE("a decoded answer states whether the request was run and whether it is signed", "[platform]")
{
    const auto full = decodeAnswer({ 503, { { "X-Not-Executed", "1" }, { "Connection", "close" } }, 0, false });
    CHECK(full.notRun);
    CHECK_FALSE(full.hasSignature);
    CHECK(full.head.headers.size() == 1);
    CHECK(decodeAnswer({ 421, {}, 0, true }).wrongUpstream);
    const auto good = decodeAnswer({ 200, { { "X-Response-Seal", "s" }, { "Content-Type", "text/plain" } }, 3, true });
    CHECK(good.hasSignature);
    CHECK_FALSE(good.notRun);
    CHECK(good.head.headers.size() == 2);
}

// Guards against heads of legal size whose parts occupy many times what they take in the head.
TEST_CASE("a prompt in thousands of parts is kept in a bounded number, with all its tokens and its own part", "[platform]")
{
    std::string list;
    for (int part = 0; part < 4000; ++part)
        list += "1:1,";
    auto request = sampleRequest();
    std::erase_if(request.headers, [](const http_header& header) { return header.name == "X-Prompt-Prefix"; });
    request.headers.push_back({ "X-Prompt-Prefix", list + "ff:7" });
    const auto parts = decoded(std::move(request)).prompt.parts;
    CHECK(parts.size() <= 256);
    CHECK(parts.back().id == 0xff);
    CHECK(std::accumulate(parts.begin(), parts.end(), 0, [](int sum, const prompt_part& part) { return sum + part.tokens; }) == 4007);
}
