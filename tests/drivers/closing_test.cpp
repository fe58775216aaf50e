#include "drivers/asio/http_server.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace kumquat;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto longestWait = std::chrono::seconds(10);
// Longer than a connection has to be quiet before a stop closes it.
constexpr auto quietTime = milliseconds(1100);
// Longer than the time between two checks of timeouts.
constexpr auto checkTime = milliseconds(350);

std::uint16_t findFreePort()
{
    asio::io_context context;
    const tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

// A caller's connection. Its calls don't block.
struct caller {
    asio::io_context context;
    tcp::socket socket { context };
    std::string received;
    // How the connection ended, as far as the caller has read.
    asio::error_code end;

    explicit caller(std::uint16_t port)
    {
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), port });
        socket.non_blocking(true);
    }

    void send(const std::string& bytes)
    {
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    void receive()
    {
        std::array<char, 65536> buffer {};
        while (!end) {
            const auto size = socket.read_some(asio::buffer(buffer), end);
            if (end == asio::error::would_block) {
                end = {};
                return;
            }
            received.append(buffer.data(), size);
        }
    }

    bool has(const std::string& text)
    {
        receive();
        return received.find(text) != std::string::npos;
    }

    bool hasEnded()
    {
        receive();
        return bool(end);
    }
};

const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A server and its reactor, which run only while the test says so. What callers send meanwhile waits in the kernel.
struct server_fixture {
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::uint16_t port = findFreePort();
    std::vector<std::string> targets;
    std::function<void(connection_id, const http_request&)> onRequest = [this](connection_id id, const http_request&) { server->answer(id, { 200, {}, 2, true }, "ok"); };
    std::unique_ptr<http_server> server;

    server_fixture()
    {
        auto opened = http_server::open(loop, guard, { "127.0.0.1", port },
            { .onRequest = [this](connection_id id, const http_request& received) {
                 targets.push_back(received.target);
                 onRequest(id, received); },
                .onDisconnected = [](connection_id) {},
                .onWritable = [](connection_id) {},
                .onRefused = [](int) {},
                .onEvicted = [this](connection_id id) { server->answer(id, { 503, {}, 2, true }, "no"); } });
        REQUIRE(errorOf(opened) == nullptr);
        server = std::move(valueOf(opened));
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + longestWait;
        while (!condition() && std::chrono::steady_clock::now() < end)
            loop.context().poll();
        return condition();
    }

    bool runUntilAccepted(std::size_t connections)
    {
        return runUntil([&] { return guard.budget().connectionCount() == connections; });
    }
};

} // namespace

TEST_CASE("a request that the kernel has received when a stop closes idle connections is answered", "[http][stop]")
{
    server_fixture fixture;
    caller kept(fixture.port);
    REQUIRE(fixture.runUntilAccepted(1));
    std::this_thread::sleep_for(quietTime);
    kept.send(request);
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    CHECK(fixture.runUntil([&] { return kept.hasEnded(); }));
    CHECK(kept.has("HTTP/1.1 200 OK"));
    CHECK(kept.has("Connection: close"));
    CHECK(kept.end == asio::error::eof);
}

TEST_CASE("a connection that waits in the backlog when a stop closes the listener is served", "[http][stop]")
{
    server_fixture fixture;
    caller first(fixture.port);
    caller second(fixture.port);
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    first.send(request);
    second.send(request);
    CHECK(fixture.runUntil([&] { return first.hasEnded() && second.hasEnded(); }));
    CHECK(first.has("HTTP/1.1 200 OK"));
    CHECK(second.has("HTTP/1.1 200 OK"));
}

TEST_CASE("a stop does not close a connection right after an answer that left it open", "[http][stop]")
{
    server_fixture fixture;
    caller kept(fixture.port);
    kept.send(request);
    REQUIRE(fixture.runUntil([&] { return kept.has("ok"); }));
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    CHECK(fixture.server->hasOpenConnections());
    kept.send(request);
    CHECK(fixture.runUntil([&] { return kept.hasEnded(); }));
    CHECK(fixture.targets.size() == 2);
    CHECK(kept.has("Connection: close"));
}

TEST_CASE("a request that crosses the close of an idle connection is not run, and the stop does not wait for its caller", "[http][stop]")
{
    server_fixture fixture;
    caller kept(fixture.port);
    REQUIRE(fixture.runUntilAccepted(1));
    std::this_thread::sleep_for(quietTime);
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    CHECK_FALSE(fixture.server->hasOpenConnections());
    kept.send(request);
    CHECK(fixture.runUntil([&] { return kept.hasEnded(); }));
    CHECK(fixture.targets.empty());
    CHECK(kept.received.empty());
}

TEST_CASE("the process does not end while a request is being received, answered or sent, or its connection lingers", "[http][stop]")
{
    server_fixture fixture;
    connection_id answered = 0;
    fixture.onRequest = [&](connection_id id, const http_request&) { answered = id; };
    caller slow(fixture.port);
    slow.send(request.substr(0, 10));
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 1; }));
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    CHECK(fixture.server->hasOpenConnections());
    slow.send(request.substr(10));
    CHECK(fixture.runUntil([&] { return answered != 0; }));
    CHECK(fixture.server->hasOpenConnections());
    fixture.server->answer(answered, { 200, {}, 2, true }, "ok");
    // The caller has not closed its end.
    CHECK(fixture.server->hasOpenConnections());
    slow.receive();
    slow.socket.close();
    CHECK(fixture.runUntil([&] { return !fixture.server->hasOpenConnections(); }));
}

TEST_CASE("a request that is not received completely at the end of a stop is answered 503, also if its caller sends on", "[http][stop]")
{
    server_fixture fixture;
    caller slow(fixture.port);
    slow.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf");
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 1; }));
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    fixture.server->refuseUnreadRequests();
    slow.send("rest");
    CHECK(fixture.runUntil([&] { return slow.hasEnded(); }));
    CHECK(slow.has("HTTP/1.1 503"));
    CHECK(slow.has("Connection: close"));
    CHECK(slow.end == asio::error::eof);
    CHECK(fixture.targets.empty());
}

TEST_CASE("a stop refuses a request whose caller has fallen silent, and does not wait for the rest", "[http][stop]")
{
    server_fixture fixture;
    caller silent(fixture.port);
    caller slow(fixture.port);
    silent.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha");
    slow.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha");
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 2; }));
    std::this_thread::sleep_for(quietTime);
    slow.send("l");
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    CHECK(fixture.runUntil([&] { return silent.hasEnded(); }));
    CHECK(silent.has("HTTP/1.1 503"));
    slow.send("f");
    CHECK(fixture.runUntil([&] { return slow.hasEnded(); }));
    CHECK(slow.has("HTTP/1.1 200 OK"));
}

TEST_CASE("a request that the kernel has received when the process ends is refused, and an answer sent just before arrives", "[http][stop]")
{
    server_fixture fixture;
    caller answered(fixture.port);
    caller waiting(fixture.port);
    caller silent(fixture.port);
    answered.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf");
    REQUIRE(fixture.runUntilAccepted(3));
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 1; }));
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    fixture.server->refuseUnreadRequests();
    answered.send("rest");
    waiting.send(request);
    fixture.server->endConnections();
    CHECK(fixture.runUntil([&] { return answered.hasEnded() && waiting.hasEnded() && silent.hasEnded(); }));
    CHECK(answered.has("HTTP/1.1 503"));
    CHECK(answered.end == asio::error::eof);
    CHECK(waiting.has("HTTP/1.1 503"));
    CHECK(waiting.end == asio::error::eof);
    CHECK(silent.end == asio::error::eof);
    CHECK(fixture.targets.empty());
}

TEST_CASE("a caller gets all events that were sent before its stream was broken off, and no end", "[http][stop]")
{
    server_fixture fixture;
    // More than the kernel takes at once.
    const std::string events(8'000'000, 'x');
    fixture.onRequest = [&](connection_id id, const http_request&) {
        fixture.server->beginAnswer(id, { 200, {}, std::nullopt, true });
        fixture.server->appendAnswer(id, events);
        fixture.server->abortAnswer(id);
    };
    caller slow(fixture.port);
    slow.send(request);
    REQUIRE(fixture.runUntil([&] { return !fixture.targets.empty(); }));
    CHECK(fixture.runUntil([&] { return slow.hasEnded(); }));
    CHECK(slow.received.size() > events.size());
    CHECK(slow.end == asio::error::eof);
    CHECK_FALSE(slow.received.ends_with("0\r\n\r\n"));
}

TEST_CASE("a request that the kernel has received is answered rather than closed at the idle timeout", "[http][stop]")
{
    server_fixture fixture;
    caller_limits limits;
    limits.idleTimeout = milliseconds(1);
    limits.headerTimeout = milliseconds(1);
    caller kept(fixture.port);
    REQUIRE(fixture.runUntilAccepted(1));
    std::string expected = request;
    SECTION("when nothing of it has been read") { }
    SECTION("when a part of it has been read")
    {
        kept.send(request.substr(0, 10));
        REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 1; }));
        expected = request.substr(10);
    }
    caller other(fixture.port);
    REQUIRE(fixture.runUntilAccepted(2));
    fixture.onRequest = [&](connection_id id, const http_request&) {
        // Arrives when the check of timeouts is already due.
        if (!expected.empty())
            kept.send(std::exchange(expected, {}));
        fixture.server->answer(id, { 200, {}, 2, true }, "ok");
    };
    fixture.server->setLimits(limits);
    other.send(request);
    std::this_thread::sleep_for(checkTime);
    CHECK(fixture.runUntil([&] { return kept.hasEnded(); }));
    CHECK(kept.has("HTTP/1.1 200 OK"));
}

TEST_CASE("a request that the kernel has received is answered rather than closed when descriptors run out", "[http][stop]")
{
    server_fixture fixture;
    // Two connections of callers are left beside the reserve.
    fixture.guard.budget().setBounds({ .descriptors = 24 });
    caller first(fixture.port);
    caller second(fixture.port);
    REQUIRE(fixture.runUntilAccepted(2));
    first.send(request);
    second.send(request);
    fixture.guard.relieve(true, std::chrono::steady_clock::now() + std::chrono::seconds(2));
    CHECK(fixture.runUntil([&] { return (first.has("ok") || first.hasEnded()) && (second.has("ok") || second.hasEnded()); }));
    CHECK(first.has("HTTP/1.1 200 OK"));
    CHECK(second.has("HTTP/1.1 200 OK"));
}

TEST_CASE("a request that is read in the turn in which the process ends is refused rather than cut off", "[http][stop]")
{
    server_fixture fixture;
    // The requests wait for the events before them.
    fixture.onRequest = [](connection_id, const http_request&) {};
    caller slow(fixture.port);
    slow.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().reading == 1; }));
    slow.send("cd");
    std::this_thread::sleep_for(checkTime);
    fixture.server->refuseUnreadRequests();
    REQUIRE(fixture.targets.size() == 1);
    fixture.server->endConnections();
    CHECK(slow.has("HTTP/1.1 503"));
}

TEST_CASE("a caller that is still taking a whole answer keeps its connection when descriptors run out", "[http][stop]")
{
    static constexpr std::size_t bodyBytes = 32 << 20;
    server_fixture fixture;
    fixture.guard.budget().setBounds({ .descriptors = 24 });
    fixture.onRequest = [&fixture](connection_id id, const http_request&) { fixture.server->answer(id, { 200, {}, bodyBytes, true }, std::string(bodyBytes, 'x')); };
    caller reader(fixture.port);
    caller idle(fixture.port);
    REQUIRE(fixture.runUntilAccepted(2));
    reader.send(request);
    REQUIRE(fixture.runUntil([&] { return fixture.server->census().sending == 1; }));
    fixture.guard.relieve(true, std::chrono::steady_clock::now() + std::chrono::seconds(2));
    CHECK(fixture.runUntil([&] { reader.receive(); return reader.received.size() > bodyBytes || reader.hasEnded(); }));
    CHECK(reader.received.size() > bodyBytes);
    CHECK(idle.hasEnded());
}

TEST_CASE("a connection that waits in the backlog at the bound of descriptors is served in a stop", "[http][stop]")
{
    server_fixture fixture;
    fixture.guard.budget().setBounds({ .descriptors = 24 });
    auto first = std::make_unique<caller>(fixture.port);
    auto second = std::make_unique<caller>(fixture.port);
    REQUIRE(fixture.runUntilAccepted(2));
    caller waiting(fixture.port);
    waiting.send(request);
    fixture.server->closeAfterAnswers();
    fixture.server->closeListenerAndIdleConnections();
    first.reset();
    second.reset();
    REQUIRE(fixture.runUntilAccepted(0));
    fixture.server->closeListenerAndIdleConnections();
    CHECK(fixture.runUntil([&] { return waiting.has("ok") || waiting.hasEnded(); }));
    CHECK(waiting.has("HTTP/1.1 200 OK"));
}

TEST_CASE("requests that were sent ahead before a stop are answered, and the last answer announces the close", "[http][stop]")
{
    server_fixture fixture;
    std::vector<connection_id> begun;
    fixture.onRequest = [&begun](connection_id id, const http_request&) { begun.push_back(id); };
    caller ahead(fixture.port);
    ahead.send(request + request);
    REQUIRE(fixture.runUntil([&] { return begun.size() == 1; }));
    fixture.server->closeAfterAnswers();
    fixture.server->answer(begun.front(), { 200, {}, 2, true }, "ok");
    REQUIRE(fixture.runUntil([&] { return begun.size() == 2 || ahead.hasEnded(); }));
    CHECK_FALSE(ahead.has("Connection: close"));
    REQUIRE(begun.size() == 2);
    fixture.server->answer(begun.back(), { 200, {}, 4, true }, "done");
    CHECK(fixture.runUntil([&] { return ahead.has("done"); }));
    CHECK(ahead.has("Connection: close"));
}

// Guards against a caller that hears nothing of a request that the process ends because it is short of memory.
TEST_CASE("a request in progress that is ended at the bound of memory is answered, and its connection closed after that", "[http][memory]")
{
    server_fixture fixture;
    std::vector<connection_id> waiting;
    fixture.onRequest = [&waiting](connection_id id, const http_request&) { waiting.push_back(id); };
    const std::string body(100000, 'x');
    caller large(fixture.port);
    caller small(fixture.port);
    large.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    small.send(request);
    REQUIRE(fixture.runUntil([&] { return waiting.size() == 2; }));
    fixture.guard.budget().setBounds({ .memoryBytes = body.size() / 2 });
    fixture.guard.relieve(false, std::chrono::steady_clock::now());
    CHECK(fixture.runUntil([&] { return large.hasEnded(); }));
    CHECK(large.has("HTTP/1.1 503 Service Unavailable"));
    CHECK(large.has("Connection: close"));
    CHECK_FALSE(small.hasEnded());
    CHECK(fixture.guard.budget().heldBytes() < body.size() / 2);
}

// Guards against an answer of which a part has been sent and that is followed by another one.
TEST_CASE("an answer in part is cut off at the bound of memory", "[http][memory]")
{
    server_fixture fixture;
    fixture.onRequest = [&fixture](connection_id id, const http_request&) {
        fixture.server->beginAnswer(id, { 200, {}, std::nullopt, true });
        for (int part = 0; part < 30; ++part)
            fixture.server->appendAnswer(id, std::string(1000000, 'x'));
    };
    caller slow(fixture.port);
    slow.send(request);
    REQUIRE(fixture.runUntil([&] { return fixture.guard.budget().heldBytes() > 1000000; }));
    fixture.guard.budget().setBounds({ .memoryBytes = 100000 });
    fixture.guard.relieve(false, std::chrono::steady_clock::now());
    CHECK(fixture.runUntil([&] { return fixture.guard.budget().connectionCount() == 0; }));
    CHECK_FALSE(slow.has("503"));
}
