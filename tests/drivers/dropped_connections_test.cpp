#include "drivers/asio/http_client.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <thread>

using namespace kumquat;
using asio::ip::tcp;

namespace {

// Longer than a connection rests while it is in steady use.
constexpr auto restTime = std::chrono::milliseconds(120);

// A server that answers each request by its path, and resets the connections that it accepted before it forgot them when something
// is sent on them.
class forgetful_server {
public:
    forgetful_server()
        : m_acceptor(m_context, { asio::ip::make_address_v4("127.0.0.1"), 0 })
        , m_thread([this] { acceptAll(); })
    {
    }

    ~forgetful_server()
    {
        m_closing = true;
        tcp::socket last(m_context);
        asio::error_code ignored;
        last.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (auto& connection : m_connections)
            connection.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void forgetConnections() { m_hasForgotten = true; }

private:
    void acceptAll()
    {
        while (true) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_closing)
                return;
            m_connections.emplace_back([this, socket = std::move(socket), isNew = m_hasForgotten.load()]() mutable { serve(socket, isNew); });
        }
    }

    void serve(tcp::socket& socket, bool isNew)
    {
        asio::streambuf received;
        asio::error_code failure;
        while (true) {
            asio::read_until(socket, received, "\r\n\r\n", failure);
            if (failure)
                return;
            const std::string request { asio::buffers_begin(received.data()), asio::buffers_end(received.data()) };
            received.consume(received.size());
            if (m_hasForgotten && !isNew) {
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                return;
            }
            const auto id = request.substr(5, request.find(' ', 5) - 5);
            asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"), failure);
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_closing { false };
    std::atomic<bool> m_hasForgotten { false };
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

// A client whose calls are run until all of them have ended.
struct calling_client {
    reactor loop;
    int connections = 0;
    int drops = 0;
    std::size_t pending = 0;
    call_id lastCall = 0;
    std::vector<http_call_failure> failures;
    connection_guard guard { [](const connection_guard::closing&) {} };
    http_client client { loop, guard,
        { .onHead = [](call_id, const http_answer_head&) {},
            .onBody = [](call_id, std::string_view) {},
            .onEnd = [this](call_id) { onCallEnded(); },
            .onFailed = [this](call_id, http_call_failure failure) { failures.push_back(std::move(failure)); onCallEnded(); },
            .onConnected = [this] { ++connections; },
            .onDropped = [this](const endpoint&, duration, duration) { ++drops; } } };

    void onCallEnded()
    {
        if (--pending == 0)
            loop.stop();
    }

    void run(const std::vector<std::uint16_t>& ports, bool mayBeLost)
    {
        pending = ports.size();
        loop.context().restart();
        for (const auto port : ports) {
            http_call call;
            call.id = ++lastCall;
            call.target = { "127.0.0.1", port };
            call.bytes = "GET /" + std::to_string(call.id) + " HTTP/1.1\r\nHost: h\r\n\r\n";
            call.expectedHeader = { "X-Id", std::to_string(call.id) };
            call.mayBeLost = mayBeLost;
            client.start(std::move(call));
        }
        loop.run();
    }
};

} // namespace

// Guards against one request after the other that is lost on connections that upstreams have dropped without notice.
TEST_CASE("requests that can't be repeated are not sent on dropped connections after the first loss", "[http][connections]")
{
    forgetful_server first;
    forgetful_server second;
    calling_client fixture;
    fixture.run({ first.port(), first.port(), first.port(), first.port(), second.port(), second.port(), second.port(), second.port() }, false);
    REQUIRE(fixture.failures.empty());
    CHECK(fixture.connections == 8);
    first.forgetConnections();
    second.forgetConnections();
    std::this_thread::sleep_for(restTime);
    for (int request = 0; request < 4; ++request) {
        fixture.run({ first.port() }, false);
        fixture.run({ second.port() }, false);
    }
    REQUIRE(fixture.failures.size() == 1);
    CHECK(fixture.failures.front().anyBytesSent);
    CHECK(fixture.failures.front().connectionReused);
    CHECK_FALSE(fixture.failures.front().anyBytesReceived);
    CHECK(fixture.failures.front().connectionDropped);
    CHECK(fixture.drops == 1);
}

// Guards against a loss at each router where another one has told of its own.
TEST_CASE("requests that can't be repeated are not sent on dropped connections of which another router has told", "[http][connections]")
{
    forgetful_server server;
    calling_client fixture;
    fixture.run({ server.port(), server.port() }, false);
    server.forgetConnections();
    std::this_thread::sleep_for(restTime);
    fixture.client.distrustIdleConnections();
    fixture.run({ server.port() }, false);
    fixture.run({ server.port() }, false);
    CHECK(fixture.failures.empty());
}

// Guards against new connections, which are priced, while upstreams keep theirs.
TEST_CASE("requests that can't be repeated reuse connections while none are dropped", "[http][connections]")
{
    forgetful_server server;
    calling_client fixture;
    for (int request = 0; request < 3; ++request) {
        fixture.run({ server.port() }, false);
        std::this_thread::sleep_for(restTime);
    }
    CHECK(fixture.failures.empty());
    CHECK(fixture.connections == 1);
}
