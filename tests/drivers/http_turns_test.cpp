#include "drivers/asio/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

// How many requests of a crowd that sends ahead a server takes before those of an ordinary caller. Everything has been sent before the
// server's loop runs, so the counts don't depend on the machine's speed.

using namespace kumquat;
using asio::ip::tcp;

namespace {

// Each test uses its own port, counted from this one.
constexpr std::uint16_t basePort = 24880;
constexpr std::size_t crowdConnections = 100;
constexpr std::size_t requestsAhead = 500;

// Runs a server until it has taken a request for /ordinary, and counts those that it took before.
class turn_fixture {
public:
    explicit turn_fixture(std::uint16_t port)
        : m_port(port)
    {
        auto opened = http_server::open(m_loop, m_guard, { "127.0.0.1", port },
            { .onRequest = [this](connection_id id, const http_request& request) { answer(id, request); },
                .onDisconnected = [](connection_id) {},
                .onWritable = [](connection_id) {},
                .onRefused = [](int) {} });
        REQUIRE(errorOf(opened) == nullptr);
        m_server = std::move(valueOf(opened));
    }

    // Opens a connection that has sent these bytes, and nothing more.
    void send(const std::string& bytes)
    {
        auto& socket = m_callers.emplace_back(m_context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), m_port });
        asio::write(socket, asio::buffer(bytes));
    }

    void sendCrowd()
    {
        std::string ahead;
        for (std::size_t number = 0; number < requestsAhead; ++number)
            ahead += "GET /crowd HTTP/1.1\r\nHost: h\r\n\r\n";
        for (std::size_t number = 0; number < crowdConnections; ++number)
            send(ahead);
    }

    void sendOrdinary() { send("GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n"); }

    std::size_t countBeforeOrdinary()
    {
        m_loop.context().restart();
        m_loop.run();
        return m_taken;
    }

    // What the server's connections held at most.
    std::size_t mostHeldBytes() const { return m_mostHeldBytes; }

    // Calls a function once the crowd's first request has been taken.
    void onFirstTaken(std::function<void()> task) { m_onFirstTaken = std::move(task); }

private:
    void answer(connection_id id, const http_request& request)
    {
        if (request.target == "/ordinary")
            return m_loop.stop();
        if (++m_taken == 1 && m_onFirstTaken)
            m_onFirstTaken();
        m_mostHeldBytes = std::max(m_mostHeldBytes, m_guard.budget().heldBytes());
        m_server->answer(id, { 404, {}, 0, true }, "");
    }

    std::uint16_t m_port;
    reactor m_loop;
    connection_guard m_guard { [](const connection_guard::closing&) {} };
    std::unique_ptr<http_server> m_server;
    asio::io_context m_context;
    std::vector<tcp::socket> m_callers;
    std::size_t m_taken = 0;
    std::size_t m_mostHeldBytes = 0;
    std::function<void()> m_onFirstTaken;
};

} // namespace

TEST_CASE("a caller that connects behind a crowd which sends ahead waits for two requests of each connection at most", "[http][turns]")
{
    turn_fixture fixture(basePort);
    fixture.sendCrowd();
    fixture.sendOrdinary();
    CHECK(fixture.countBeforeOrdinary() <= 2 * crowdConnections);
}

TEST_CASE("a caller that connects while a crowd sends ahead waits for two requests of each connection at most", "[http][turns]")
{
    turn_fixture fixture(basePort + 1);
    fixture.sendCrowd();
    fixture.onFirstTaken([&] { fixture.sendOrdinary(); });
    CHECK(fixture.countBeforeOrdinary() <= 2 * crowdConnections);
}

TEST_CASE("a server holds a bounded part of what a caller has sent ahead, also while it answers", "[http][turns]")
{
    // The server stops reading above 128 KB and reads 64 KB at a time; a buffer grows by doubling.
    constexpr std::size_t maxHeldBytes = 2 * (131072 + 65536);
    turn_fixture fixture(basePort + 2);
    std::string ahead;
    while (ahead.size() < 1'500'000)
        ahead += "GET /crowd HTTP/1.1\r\nHost: h\r\nX-Filler: " + std::string(1000, 'x') + "\r\n\r\n";
    fixture.send(ahead + "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.countBeforeOrdinary();
    CHECK(fixture.mostHeldBytes() < maxHeldBytes);
}

TEST_CASE("a caller that has sent more ahead than the server reads, and closes, is noticed while its request is in progress", "[http][turns]")
{
    // Ends a run in which the close goes unnoticed.
    constexpr auto maxRunTime = std::chrono::seconds(10);
    constexpr std::uint16_t port = basePort + 3;
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    asio::io_context context;
    tcp::socket caller(context);
    bool noticed = false;
    auto opened = http_server::open(loop, guard, { "127.0.0.1", port },
        { .onRequest = [&](connection_id, const http_request&) { loop.post([&] { caller.close(); }); },
            .onDisconnected = [&](connection_id) {
                noticed = true;
                loop.stop(); },
            .onWritable = [](connection_id) {},
            .onRefused = [](int) {} });
    REQUIRE(errorOf(opened) == nullptr);
    caller.connect({ asio::ip::make_address_v4("127.0.0.1"), port });
    std::string ahead;
    while (ahead.size() < 200'000)
        ahead += "GET /crowd HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(caller, asio::buffer(ahead));
    loop.setTimer(std::chrono::steady_clock::now() + maxRunTime, [&] { loop.stop(); });
    loop.run();
    CHECK(noticed);
}
