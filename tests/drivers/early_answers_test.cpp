#include "drivers/asio/http_client.h"
#include "drivers/asio/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace kumquat;
using asio::ip::tcp;

namespace {

// More than the kernel takes at once.
constexpr std::size_t bodyBytes = 32 * 1024 * 1024;

struct early_client {
    reactor loop;
    int connections = 0;
    int ended = 0;
    std::string body;
    std::optional<http_call_failure> failure;
    connection_guard guard { [](const connection_guard::closing&) {} };
    http_client client { loop, guard,
        { .onHead = [](call_id, const http_answer_head&) {},
            .onBody = [this](call_id, std::string_view bytes) { body += bytes; },
            .onEnd = [this](call_id) { ++ended; loop.stop(); },
            .onFailed = [this](call_id, http_call_failure failed) { failure = std::move(failed); loop.stop(); },
            .onConnected = [this] { ++connections; } } };

    void run(call_id id, std::uint16_t port, const std::string& requestBody)
    {
        http_call call;
        call.id = id;
        call.target = { "127.0.0.1", port };
        call.bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(requestBody.size()) + "\r\n\r\n" + requestBody;
        call.expectedHeader = { "X-Id", std::to_string(id) };
        loop.context().restart();
        client.start(std::move(call));
        loop.run();
    }
};

} // namespace

// Guards against an answer that was cut by a reset and looks complete, since the failed write has taken the error from the socket.
TEST_CASE("an answer without length is not complete if its connection is reset while the request is being written", "[http]")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    std::thread server([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        asio::streambuf received;
        asio::read_until(socket, received, "\r\n\r\n");
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nthe first half")));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    early_client fixture;
    fixture.run(1, acceptor.local_endpoint().port(), std::string(bodyBytes, 'x'));
    server.join();
    CHECK(fixture.ended == 0);
    REQUIRE(fixture.failure);
    CHECK(fixture.failure->anyBytesSent);
}

// Guards against another request where the rest of a body is due.
TEST_CASE("a connection whose upstream answered before the body was written carries no other request", "[http]")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    std::string afterHead;
    std::thread server([&] {
        tcp::socket first(context);
        acceptor.accept(first);
        asio::streambuf received;
        asio::read_until(first, received, "\r\n\r\n");
        asio::write(first, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nearly")));
        tcp::socket second(context);
        acceptor.accept(second);
        asio::streambuf next;
        asio::read_until(second, next, "\r\n\r\n");
        asio::write(second, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nnext")));
        asio::error_code ended;
        asio::read(first, received, ended);
        afterHead = { asio::buffers_begin(received.data()), asio::buffers_end(received.data()) };
    });
    early_client fixture;
    fixture.run(1, acceptor.local_endpoint().port(), std::string(bodyBytes, 'x'));
    fixture.run(2, acceptor.local_endpoint().port(), "");
    server.join();
    CHECK(fixture.ended == 2);
    CHECK(fixture.body == "earlynext");
    CHECK(fixture.connections == 2);
    // The head of the first request and a part of its body.
    CHECK(afterHead.find("POST", 1) == std::string::npos);
    CHECK(afterHead.size() < bodyBytes);
}

// Guards against an end, or bytes, that a caller takes for the rest of an answer that was broken off while it read slowly.
TEST_CASE("an answer that is broken off while its caller reads nothing has no last chunk", "[http]")
{
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::unique_ptr<http_server> server;
    asio::io_context context;
    // Finds a free port.
    const auto port = tcp::acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 }).local_endpoint().port();
    bool isThrottled = false;
    std::atomic<bool> isAborted { false };
    auto opened = http_server::open(loop, guard, { "127.0.0.1", port },
        { .onRequest = [&](connection_id id, const http_request&) {
             server->beginAnswer(id, { 200, {}, std::nullopt, true });
             isThrottled = !server->appendAnswer(id, std::string(bodyBytes, 'x'));
             server->abortAnswer(id);
             server->finishAnswer(id);
             server->answer(id, { 502, {}, 5, true }, "error");
             isAborted = true; },
            .onDisconnected = [](connection_id) {},
            .onWritable = [](connection_id) {},
            .onRefused = [](int) {} });
    REQUIRE(errorOf(opened) == nullptr);
    server = std::move(valueOf(opened));
    std::string received;
    std::thread caller([&] {
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), port });
        asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")));
        while (!isAborted)
            std::this_thread::yield();
        asio::error_code failure;
        asio::read(socket, asio::dynamic_buffer(received), failure);
        loop.post([&loop] { loop.stop(); });
    });
    loop.run();
    caller.join();
    CHECK(isThrottled);
    // All that the answer had, and nothing behind it.
    CHECK(received.size() > bodyBytes);
    CHECK(received.ends_with("x\r\n"));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
}
