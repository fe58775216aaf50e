#include "drivers/asio/http_client.h"
#include "drivers/prometheus/metrics_registry.h"
#include "processes/router_store_client.h"
#include "servers/router/stream_assembler.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <malloc.h>
#include <map>
#include <thread>

using namespace kumquat;
using asio::ip::tcp;

namespace {

constexpr std::size_t memoryBytes = 4'000'000;
// Buffers grow by doubling, and both sizes exist while one is copied. The rest is for sockets, events and the test itself.
constexpr std::size_t allocatedBytes = 3 * memoryBytes + 1'000'000;
// A server that nobody ends stops here.
constexpr std::size_t maxSentBytes = 16'000'000;
constexpr std::size_t pieceBytes = 16384;

std::size_t allocatedNow()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

// A server that answers one request with a beginning and then with one piece again and again, until the client closes the connection.
class endless_server {
public:
    endless_server(std::string beginning, const std::string& piece)
        : m_acceptor(m_context, { asio::ip::make_address_v4("127.0.0.1"), 0 })
        , m_thread([this, beginning = std::move(beginning), piece] { serve(beginning, piece); })
    {
    }

    ~endless_server() { awaitEnd(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    // The client ended the answer before the server stopped. The server notices that with its next write, which may come later.
    bool wasClosed()
    {
        awaitEnd();
        return m_wasClosed;
    }

private:
    void awaitEnd()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

    void serve(const std::string& beginning, const std::string& piece)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        asio::error_code failure;
        asio::streambuf received;
        asio::read_until(socket, received, "\r\n\r\n", failure);
        asio::write(socket, asio::buffer(beginning), failure);
        std::string pieces;
        while (pieces.size() < pieceBytes)
            pieces += piece;
        for (std::size_t sent = 0; sent < maxSentBytes && !failure; sent += pieces.size())
            asio::write(socket, asio::buffer(pieces), failure);
        m_wasClosed = static_cast<bool>(failure);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_wasClosed { false };
    std::thread m_thread;
};

// A server that answers one request with a stream of small events, which goes on for as long as the faulty ones beside it.
class sound_server {
public:
    sound_server()
        : m_acceptor(m_context, { asio::ip::make_address_v4("127.0.0.1"), 0 })
        , m_thread([this] { serve(); })
    {
    }

    ~sound_server()
    {
        end();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void end() { m_ends = true; }
    int eventsSent() const { return m_eventsSent; }

private:
    void serve()
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        asio::error_code failure;
        asio::streambuf received;
        asio::read_until(socket, received, "\r\n\r\n", failure);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n")), failure);
        do {
            asio::write(socket, asio::buffer(std::string("9\r\ndata: x\n\n\r\n")), failure);
            m_eventsSent += failure ? 0 : 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        } while (!m_ends && !failure);
        asio::write(socket, asio::buffer(std::string("0\r\n\r\n")), failure);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_ends { false };
    std::atomic<int> m_eventsSent { 0 };
    std::thread m_thread;
};

// A client that keeps what it receives as the router does: an event until it is complete. Call 1 is the sound stream, the others are
// the faulty ones.
struct memory_fixture {
    struct call_state {
        router::stream_assembler stream;
        int events = 0;
        bool ended = false;
        bool failed = false;
    };

    reactor loop;
    connection_guard guard { [](const connection_guard::closing&) {} };
    std::map<call_id, call_state> calls;
    sound_server sound;
    std::size_t faultyCalls = 0;
    std::size_t allocatedAtStart = 0;
    std::size_t mostAllocated = 0;
    std::size_t mostHeld = 0;
    http_client client { loop, guard,
        { .onHead = [](call_id, const http_answer_head&) {},
            .onBody = [this](call_id call, std::string_view bytes) { keep(call, bytes); },
            .onEnd = [this](call_id call) { calls[call].ended = true; onCallEnded(call); },
            .onFailed = [this](call_id call, const http_call_failure&) { calls[call].failed = true; onCallEnded(call); },
            .onConnected = [] {} } };

    memory_fixture() { guard.budget().setBounds({ .memoryBytes = memoryBytes, .descriptors = 1000 }); }

    void keep(call_id call, std::string_view bytes)
    {
        auto& state = calls[call];
        if (!state.stream.feed(bytes).empty())
            ++state.events;
        client.recordPartialEvent(call, state.stream.partialEventBytes());
        measure();
    }

    void measure()
    {
        mostAllocated = std::max(mostAllocated, allocatedNow());
        mostHeld = std::max(mostHeld, guard.budget().heldBytes());
    }

    void onCallEnded(call_id call)
    {
        measure();
        calls[call].stream.beginAttempt();
        if (call != 1 && --faultyCalls == 0)
            sound.end();
        if (call == 1)
            loop.stop();
    }

    void start(call_id id, std::uint16_t port)
    {
        http_call call;
        call.id = id;
        call.target = { "127.0.0.1", port };
        call.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        call.expectedHeader = { "X-Id", std::to_string(id) };
        client.start(std::move(call));
    }

    // Runs the sound stream beside calls of faulty servers until all have ended.
    void run(const std::vector<std::uint16_t>& faultyPorts)
    {
        faultyCalls = faultyPorts.size();
        allocatedAtStart = allocatedNow();
        start(1, sound.port());
        for (std::size_t index = 0; index < faultyPorts.size(); ++index)
            start(2 + index, faultyPorts[index]);
        loop.run();
    }

    void checkSoundStream()
    {
        CHECK(calls[1].ended);
        CHECK_FALSE(calls[1].failed);
        CHECK(calls[1].events > 0);
        CHECK(mostAllocated - std::min(mostAllocated, allocatedAtStart) < allocatedBytes);
        CHECK(mostHeld < memoryBytes + 65536);
    }
};

// One way in which an answer does not end.
struct endless_form {
    const char* name;
    std::string beginning;
    std::string piece;
    // The client has to end the answer, since its bytes can't be part of one, or more of them have to be kept than the memory holds.
    bool isEnded = true;
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nConnection: close\r\n\r\n";

std::vector<endless_form> endlessForms()
{
    return {
        { "a head", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n" },
        { "bytes that are no answer", "", "no answer " },
        { "an event in chunks", chunkedHead, "3e8\r\n" + std::string(1000, 'x') + "\r\n" },
        { "an event in very short chunks", chunkedHead, "1\r\nx\r\n", false },
        { "an event that ends with the connection", unframedHead, std::string(1000, 'x') },
        { "trailers", chunkedHead + "0\r\n", "T: x\r\n" },
        { "chunk extensions", chunkedHead + "1", ";a=b" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\nX-Filler: 0123456789\r\n\r\n", false },
        { "late answers to another request", "", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'), false },
    };
}

} // namespace

TEST_CASE("an upstream that sends without end does not fill the memory, and the stream of another goes on", "[memory]")
{
    for (const auto& form : endlessForms()) {
        INFO(form.name);
        endless_server server(form.beginning, form.piece);
        memory_fixture fixture;
        fixture.run({ server.port() });
        fixture.checkSoundStream();
        CHECK(fixture.calls[2].failed);
        if (form.isEnded)
            CHECK(server.wasClosed());
    }
}

TEST_CASE("several upstreams that send events without end stay within the memory together", "[memory]")
{
    constexpr std::size_t count = 12;
    std::vector<std::unique_ptr<endless_server>> servers;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        const auto head = "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(2 + index) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        servers.push_back(std::make_unique<endless_server>(head, "3e8\r\n" + std::string(1000, 'x') + "\r\n"));
        ports.push_back(servers.back()->port());
    }
    memory_fixture fixture;
    fixture.run(ports);
    fixture.checkSoundStream();
    for (const auto& server : servers)
        CHECK(server->wasClosed());
}

TEST_CASE("an answer of the store without end is given up before it takes the memory of callers", "[memory]")
{
    endless_server server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    reactor loop;
    connection_guard guard([](const connection_guard::closing&) {});
    metrics_registry metrics;
    std::size_t mostHeld = 0;
    std::string reason;
    router_store_client store(loop, guard, metrics, [&](const router::router_event& event) {
        mostHeld = std::max(mostHeld, guard.budget().heldBytes());
        if (const auto* read = std::get_if<router::config_read>(&event)) {
            reason = std::get<store_read_failed>(read->outcome).reason;
            loop.stop();
        }
    });
    store.start(router::read_store { .read = 1, .kind = store_kind::configuration }, { "127.0.0.1", server.port() });
    loop.run();
    CHECK(reason.find("more than 8000000 bytes") != std::string::npos);
    CHECK(mostHeld < 9'000'000);
    CHECK(guard.budget().heldBytes() == 0);
}

// Guards against heads that no account counts: many answers at a time, each with a head that stops short of its end.
TEST_CASE("the heads of upstreams' answers count in the memory of connections", "[memory]")
{
    constexpr std::size_t headBytes = 60000;
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    reactor loop;
    connection_guard guard([](const connection_guard::closing&) {});
    http_client client(loop, guard, { .onHead = [](call_id, const http_answer_head&) {}, .onBody = [](call_id, std::string_view) {}, .onEnd = [](call_id) {}, .onFailed = [](call_id, const http_call_failure&) {}, .onConnected = [] {} });
    http_call call;
    call.id = 1;
    call.target = { "127.0.0.1", acceptor.local_endpoint().port() };
    call.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    client.start(std::move(call));
    tcp::socket socket(context);
    acceptor.accept(socket);
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nX-Filler: " + std::string(headBytes, 'x')));
    for (int turn = 0; turn < 2000 && guard.budget().heldBytes() < headBytes; ++turn)
        loop.context().run_for(std::chrono::milliseconds(1));
    CHECK(guard.budget().heldBytes() >= headBytes);
}
