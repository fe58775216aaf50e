#include "drivers/asio/http_client.h"
#include "drivers/asio/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <thread>

using namespace kumquat;
using asio::ip::tcp;

namespace {

// Each test uses its own port, counted from this one.
constexpr std::uint16_t basePort = 24810;

// The answers to the requests of each connection, in order.
struct connection_scripts {
    std::vector<std::vector<std::string>> answers;
};

// A server that accepts connections one after the other, answers the requests of each with the given bytes in order, and then closes
// it.
class scripted_server {
public:
    scripted_server(std::uint16_t port, std::vector<std::string> answers)
        : scripted_server(port, connection_scripts { { std::move(answers) } })
    {
    }

    scripted_server(std::uint16_t port, connection_scripts scripts)
        : m_acceptor(m_context, { asio::ip::make_address_v4("127.0.0.1"), port })
        , m_thread([this, scripts = std::move(scripts)] {
            for (const auto& answers : scripts.answers)
                serve(answers);
        })
    {
    }

    ~scripted_server() { m_thread.join(); }

private:
    void serve(const std::vector<std::string>& answers)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        asio::error_code ignored;
        asio::streambuf received;
        for (const auto& answer : answers) {
            asio::read_until(socket, received, "\r\n\r\n", ignored);
            received.consume(received.size());
            asio::write(socket, asio::buffer(answer), ignored);
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

// The outcome of one call, as the client's handlers report it.
struct call_outcome {
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<http_call_failure> failure;
};

// An HTTP client with its reactor, which records the outcomes of its calls.
struct client_fixture {
    reactor loop;
    std::map<call_id, call_outcome> calls;
    int connections = 0;
    std::vector<call_id> unidentified;
    std::size_t pendingCalls = 0;
    connection_guard guard { [](const connection_guard::closing&) {} };
    http_client client { loop, guard,
        { .onHead = [this](call_id call, const http_answer_head& head) { calls[call].status = head.status; },
            .onBody = [this](call_id call, std::string_view bytes) { calls[call].body += bytes; },
            .onEnd = [this](call_id call) { calls[call].ended = true; onCallEnded(); },
            .onFailed = [this](call_id call, http_call_failure failure) { calls[call].failure = std::move(failure); onCallEnded(); },
            .onUnidentified = [this](call_id call) { unidentified.push_back(call); },
            .onConnected = [this] { ++connections; } } };

    void onCallEnded()
    {
        if (--pendingCalls == 0)
            loop.stop();
    }

    // Runs one GET request until it ends or fails. The answer has to echo the id in the header X-Id.
    call_outcome run(call_id id, std::uint16_t port, identity_check check = {})
    {
        http_call call;
        call.identityCheck = std::move(check);
        call.id = id;
        call.target = { "127.0.0.1", port };
        call.bytes = "GET /" + std::to_string(id) + " HTTP/1.1\r\nHost: h\r\n\r\n";
        call.expectedHeader = { "X-Id", std::to_string(id) };
        pendingCalls = 1;
        loop.context().restart();
        client.start(std::move(call));
        loop.run();
        return calls[id];
    }
};

} // namespace

TEST_CASE("an answer that echoes the id of an earlier call is skipped", "[http]")
{
    scripted_server server(basePort, { "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nnew" });
    client_fixture fixture;
    const auto outcome = fixture.run(1, basePort);
    CHECK(outcome.ended);
    CHECK(outcome.body == "new");
}

TEST_CASE("an earlier refusal that is written once more on a kept connection is not taken for the answer to the next request", "[http]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nold";
    const std::string next = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nnew";
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string namedRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    SECTION("before the next request goes out, its connection is given up")
    {
        for (const auto& stale : { refusal, namedRefusal }) {
            scripted_server server(basePort + 14, connection_scripts { { { answer + stale }, { next } } });
            client_fixture fixture;
            CHECK(fixture.run(1, basePort + 14).body == "old");
            CHECK(fixture.run(2, basePort + 14).body == "new");
        }
    }
    SECTION("while or after the next request goes out, one that names another request is skipped")
    {
        scripted_server server(basePort + 15, { answer, namedRefusal + namedRefusal + next });
        client_fixture fixture;
        CHECK(fixture.run(1, basePort + 15).body == "old");
        const auto outcome = fixture.run(2, basePort + 15);
        CHECK(outcome.status == 200);
        CHECK(outcome.body == "new");
        CHECK(fixture.connections == 1);
    }
    SECTION("while or after the next request goes out, one that names no request leaves the outcome unknown")
    {
        for (const auto& rest : { std::string(), next }) {
            scripted_server server(basePort + 16, { answer, refusal + rest });
            client_fixture fixture;
            CHECK(fixture.run(1, basePort + 16).body == "old");
            const auto outcome = fixture.run(2, basePort + 16);
            CHECK(outcome.status == 0);
            REQUIRE(outcome.failure);
            CHECK(outcome.failure->anyBytesSent);
        }
    }
    SECTION("one that names another request and is all that comes leaves the outcome unknown")
    {
        scripted_server server(basePort + 17, { answer, namedRefusal });
        client_fixture fixture;
        CHECK(fixture.run(1, basePort + 17).body == "old");
        const auto outcome = fixture.run(2, basePort + 17);
        CHECK(outcome.status == 0);
        REQUIRE(outcome.failure);
        CHECK(outcome.failure->anyBytesSent);
    }
    SECTION("on a new connection nothing came before, so that a refusal counts")
    {
        scripted_server server(basePort + 18, { refusal });
        client_fixture fixture;
        CHECK(fixture.run(1, basePort + 18).status == 503);
    }
}

TEST_CASE("a truncated answer fails the call and reports that request bytes were sent", "[http]")
{
    scripted_server server(basePort + 1, { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 30\r\n\r\nhalf" });
    client_fixture fixture;
    const auto outcome = fixture.run(1, basePort + 1);
    CHECK_FALSE(outcome.ended);
    REQUIRE(outcome.failure);
    CHECK(outcome.failure->anyBytesSent);
}

TEST_CASE("a refused connection fails the call and reports that no request bytes were sent", "[http]")
{
    client_fixture fixture;
    const auto outcome = fixture.run(1, basePort + 2);
    REQUIRE(outcome.failure);
    CHECK_FALSE(outcome.failure->anyBytesSent);
    CHECK(outcome.failure->connection == connection_outcome::refused);
}

TEST_CASE("a connection is reused, and closed after bytes that belong to no answer", "[http]")
{
    scripted_server server(basePort + 3, { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nbEXTRA" });
    client_fixture fixture;
    CHECK(fixture.run(1, basePort + 3).body == "a");
    CHECK(fixture.run(2, basePort + 3).body == "b");
    CHECK(fixture.connections == 1);
    CHECK(fixture.client.connectionCount() == 0);
}

TEST_CASE("an answer without length or chunks is complete when its connection ends, and not when it is reset", "[http]")
{
    for (const bool isReset : { false, true }) {
        CAPTURE(isReset);
        asio::io_context context;
        tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
        std::thread server([&] {
            tcp::socket socket(context);
            acceptor.accept(socket);
            asio::streambuf received;
            asio::read_until(socket, received, "\r\n\r\n");
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nid: 1\ndata: x\n\n")));
            // The client has to read the bytes before a reset discards them.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
        client_fixture fixture;
        const auto outcome = fixture.run(1, acceptor.local_endpoint().port());
        server.join();
        CHECK(outcome.body == "id: 1\ndata: x\n\n");
        CHECK(outcome.ended == !isReset);
        CHECK(outcome.failure.has_value() == isReset);
    }
}

TEST_CASE("a head without end fails the call and closes the connection", "[http]")
{
    for (const auto* filler : { "X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" }) {
        asio::io_context context;
        tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
        std::size_t sent = 0;
        std::thread server([&] {
            tcp::socket socket(context);
            acceptor.accept(socket);
            asio::streambuf received;
            asio::read_until(socket, received, "\r\n\r\n");
            asio::error_code failure;
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n")), failure);
            constexpr std::size_t maxSent = 256 * 1024 * 1024;
            while (!failure && sent < maxSent)
                sent += asio::write(socket, asio::buffer(std::string(filler)), failure);
        });
        client_fixture fixture;
        const auto outcome = fixture.run(1, acceptor.local_endpoint().port());
        server.join();
        REQUIRE(outcome.failure);
        CHECK(outcome.failure->anyBytesSent);
        CHECK(fixture.client.connectionCount() == 0);
        CHECK(sent < 64 * 1024 * 1024);
    }
}

TEST_CASE("the server answers pipelined requests in order and leaves an aborted answer without its last chunk", "[http]")
{
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::vector<std::string> targets;
    std::unique_ptr<http_server> server;
    auto opened = http_server::open(loop, guard, { "127.0.0.1", basePort + 4 },
        { .onRequest = [&](connection_id id, const http_request& request) {
             targets.push_back(request.target);
             if (request.target == "/abort") {
                 server->beginAnswer(id, { 200, {}, std::nullopt, true });
                 server->appendAnswer(id, "part");
                 return server->abortAnswer(id);
             }
             server->answer(id, { 200, {}, request.target.size(), true }, request.target); },
            .onDisconnected = [](connection_id) {},
            .onWritable = [](connection_id) {},
            .onRefused = [](int) {} });
    REQUIRE(errorOf(opened) == nullptr);
    server = std::move(valueOf(opened));
    std::string received;
    std::thread caller([&] {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), basePort + 4 });
        asio::write(socket, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /abort HTTP/1.1\r\nHost: h\r\n\r\n")));
        asio::error_code failure;
        std::array<char, 4096> buffer {};
        while (!failure) {
            const auto size = socket.read_some(asio::buffer(buffer), failure);
            received.append(buffer.data(), size);
        }
        loop.post([&loop] { loop.stop(); });
    });
    loop.run();
    caller.join();
    CHECK(targets == std::vector<std::string> { "/1", "/2", "/abort" });
    CHECK(received.find("/1") < received.find("/2"));
    CHECK(received.find("4\r\npart\r\n") != std::string::npos);
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("the last answer of a connection reaches a caller that reads it slowly, whole", "[http]")
{
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::unique_ptr<http_server> server;
    // More than the kernel takes at once.
    std::string body;
    body.resize(24'000'000, 'x');
    auto opened = http_server::open(loop, guard, { "127.0.0.1", basePort + 40 },
        { .onRequest = [&](connection_id id, const http_request&) { server->answer(id, { 200, {}, body.size(), true }, body); },
            .onDisconnected = [](connection_id) {},
            .onWritable = [](connection_id) {},
            .onRefused = [](int) {} });
    REQUIRE(errorOf(opened) == nullptr);
    server = std::move(valueOf(opened));
    std::size_t received = 0;
    bool wasUnsent = false;
    std::thread caller([&] {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), basePort + 40 });
        asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
        asio::error_code failure;
        std::vector<char> buffer(1'000'000);
        while (!failure) {
            received += asio::read(socket, asio::buffer(buffer), failure);
            // Longer, in all, than the server waits for a caller to close a connection after its last answer.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        loop.post([&loop] { loop.stop(); });
    });
    loop.post([&loop, &server, &wasUnsent] { loop.setTimer(std::chrono::steady_clock::now() + std::chrono::milliseconds(500), [&] { wasUnsent = server->hasUnsentAnswers(); }); });
    loop.run();
    caller.join();
    CHECK(received > body.size());
    CHECK(wasUnsent);
    CHECK_FALSE(server->hasUnsentAnswers());
}

TEST_CASE("the server refuses ambiguous and invalid lengths with 400 and too large bodies with 413", "[http]")
{
    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::vector<int> refused;
    auto opened = http_server::open(loop, guard, { "127.0.0.1", basePort + 5 },
        { .onRequest = [](connection_id, const http_request&) { FAIL("the refused request reached the handler"); },
            .onDisconnected = [](connection_id) {},
            .onWritable = [](connection_id) {},
            .onRefused = [&](int status) { refused.push_back(status); } });
    REQUIRE(errorOf(opened) == nullptr);
    std::string received;
    std::thread caller([&] {
        for (const std::string length : { "Content-Length: 3\r\nTransfer-Encoding: chunked", "Content-Length: -1", "Content-Length: 99999999999" }) {
            asio::io_context context;
            tcp::socket socket(context);
            socket.connect({ asio::ip::make_address_v4("127.0.0.1"), basePort + 5 });
            asio::write(socket, asio::buffer("POST / HTTP/1.1\r\nHost: h\r\n" + length + "\r\n\r\n"));
            asio::streambuf answer;
            asio::error_code ended;
            asio::read_until(socket, answer, "\r\n\r\n", ended);
        }
        loop.post([&loop] { loop.stop(); });
    });
    loop.run();
    caller.join();
    CHECK(refused == std::vector<int> { 400, 400, 413 });
}

namespace {

// Accepts a server that answers "me".
identity_check checkForMe()
{
    return { "GET /who HTTP/1.1\r\nHost: h\r\n\r\n", "me", [](int status, const std::string& body) { return status == 200 && body == "me"; } };
}

const std::string answerOfCall = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nnew";

} // namespace

TEST_CASE("a request follows an accepted identity check on the same connection", "[http]")
{
    scripted_server server(basePort + 20, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme", answerOfCall });
    client_fixture fixture;
    const auto outcome = fixture.run(1, basePort + 20, checkForMe());
    CHECK(outcome.ended);
    CHECK(outcome.body == "new");
    CHECK(fixture.connections == 1);
}

// Guards against a question for each request where one for each connection is enough, and against trust in another identity.
TEST_CASE("a server is asked who it is once on each connection, and again for another identity", "[http]")
{
    const auto answerTo = [](int id) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(id) + "\r\nContent-Length: 3\r\n\r\nnew"; };
    const std::string identity = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme";
    scripted_server server(basePort + 31, connection_scripts { { { identity, answerTo(1), answerTo(2), identity, answerTo(3) } } });
    client_fixture fixture;
    CHECK(fixture.run(1, basePort + 31, checkForMe()).body == "new");
    CHECK(fixture.run(2, basePort + 31, checkForMe()).body == "new");
    auto other = checkForMe();
    other.identity = "me, started later";
    CHECK(fixture.run(3, basePort + 31, other).body == "new");
    CHECK(fixture.connections == 1);
}

TEST_CASE("a server that is another one or breaks off gets no request after the identity check", "[http]")
{
    const auto [number, answer] = GENERATE(table<int, std::string>({
        { 21, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" },
        { 22, "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nme" },
        { 25, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nme" },
        { 26, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x') },
    }));
    CAPTURE(number);
    const auto port = static_cast<std::uint16_t>(basePort + number);
    scripted_server server(port, { answer });
    client_fixture fixture;
    const auto outcome = fixture.run(1, port, checkForMe());
    CHECK_FALSE(outcome.ended);
    CHECK(outcome.status == 0);
    REQUIRE(outcome.failure);
    CHECK_FALSE(outcome.failure->anyBytesSent);
}

// Guards against a server that is not used at all because it doesn't know the question.
TEST_CASE("a server that doesn't say who it is gets the request on a new connection, if it need not", "[http]")
{
    const std::string refusal = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    scripted_server server(basePort + 32, connection_scripts { { { refusal }, { answerOfCall } } });
    client_fixture fixture;
    auto check = checkForMe();
    check.identifies = [](const http_answer_head& head) { return head.status == 200; };
    CHECK(fixture.run(1, basePort + 32, check).body == "new");
    CHECK(fixture.connections == 2);
    CHECK(fixture.unidentified == std::vector<call_id> { 1 });
}

TEST_CASE("a server that closes the connection after the identity check, or sends more, is asked again on another one, once", "[http]")
{
    const auto [number, closing] = GENERATE(table<int, std::string>({
        { 27, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nme" },
        { 29, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme" + answerOfCall },
    }));
    const auto port = static_cast<std::uint16_t>(basePort + number);
    const auto otherPort = static_cast<std::uint16_t>(port + 1);
    {
        scripted_server server(port, connection_scripts { { { closing }, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme", answerOfCall } } });
        client_fixture fixture;
        const auto outcome = fixture.run(1, port, checkForMe());
        CHECK(outcome.ended);
        CHECK(outcome.body == "new");
        CHECK(fixture.connections == 2);
    }
    scripted_server server(otherPort, connection_scripts { { { closing }, { closing } } });
    client_fixture fixture;
    const auto outcome = fixture.run(1, otherPort, checkForMe());
    REQUIRE(outcome.failure);
    CHECK_FALSE(outcome.failure->anyBytesSent);
    CHECK(fixture.connections == 2);
}
