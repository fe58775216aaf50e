#include "platform/request_headers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace kumquat;
using namespace kumquat::platform;

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

// The reference: compares each field with each option.
std::string expectedLines(const http_headers& headers)
{
    static const std::set<std::string> never { "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "trailer", "upgrade", "proxy-authorization", "te", "expect",
        "authorization", "last-event-id", "x-deadline-ms", "x-tenant-id", "x-expect-instance", "x-request-priority", "x-expect-version", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch" };
    static const std::set<std::string> always { "host", "x-attempt-id", "x-model", "x-token-usage", "x-prompt-prefix", "x-length-hint", "content-type" };
    std::set<std::string> listed;
    for (const auto& header : headers) {
        if (lowerCase(header.name) != "connection")
            continue;
        std::string item;
        for (const char character : header.value + ",") {
            if (character == ',')
                listed.insert(lowerCase(std::exchange(item, {})));
            else if (character != ' ' && character != '\t')
                item += character;
        }
    }
    std::string lines;
    for (const auto& header : headers) {
        const auto name = lowerCase(header.name);
        if (!never.contains(name) && (always.contains(name) || !listed.contains(name)))
            lines += header.name + ": " + header.value + "\r\n";
    }
    return lines;
}

// Names that the router knows, and ones that are nearly the same, in any case.
std::string drawName(std::mt19937& random)
{
    static const std::vector<std::string> names { "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Authorization", "TE",
        "Expect", "Authorization", "Last-Event-Id", "X-Deadline-Ms", "X-Tenant-Id", "X-Expect-Instance", "X-Request-Priority", "X-Expect-Version", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
        "Kv-Fetch", "Host", "X-Attempt-Id", "X-Model", "X-Token-Usage", "X-Prompt-Prefix", "X-Length-Hint", "Content-Type", "Resumes", "a", "ab", "X-Long-Name-1", "X-Long-Name-2", "X-A-Name-Longer-Than-Any-Known" };
    auto name = names[random() % names.size()];
    if (random() % 4 == 0)
        name[random() % name.size()] = static_cast<char>('a' + random() % 26);
    for (auto& character : name) {
        if (random() % 4 == 0)
            character = static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

} // namespace

TEST_CASE("the forwarded lines are those that a comparison of each field with each Connection option leaves", "[platform]")
{
    std::mt19937 random(11);
    for (int run = 0; run < 3000; ++run) {
        http_headers headers;
        for (auto count = random() % 30; count > 0; --count) {
            const bool isConnection = random() % 6 == 0;
            std::string value;
            for (auto options = isConnection ? random() % 8 : 0; options > 0; --options)
                value += (random() % 3 == 0 ? " " : "") + drawName(random) + (random() % 5 == 0 ? " ,," : ",");
            headers.push_back({ isConnection ? "connection" : drawName(random), value });
        }
        REQUIRE(request_headers(headers).forwardedLines() == expectedLines(headers));
    }
}

TEST_CASE("of several headers of one name the first counts, and every Host header is counted", "[platform]")
{
    const http_headers headers { { "host", "a" }, { "HOST", "b" }, { "x-attempt-id", "1" }, { "X-Attempt-Id", "2" }, { "X-Attempt-Ix", "3" } };
    const request_headers read(headers);
    CHECK(read.hostCount() == 2);
    CHECK(*read.find(request_header::host) == "a");
    CHECK(*read.find(request_header::request_id) == "1");
    CHECK(read.find(request_header::deadline) == nullptr);
}
