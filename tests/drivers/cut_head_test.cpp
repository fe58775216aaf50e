#include "drivers/asio/client_connection.h"
#include "drivers/http/admin_client.h"
#include "drivers/http/load_client.h"
#include "drivers/http/object_api_client.h"
#include "drivers/http/upstream_client.h"

#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace kumquat;

// A server that stops in the middle of an answer's head, and closes or resets the connection, has given no answer. Each reader of
// answers has to say so, at every byte: an answer that looks whole would reach a caller as an empty or short success.

namespace {

const std::vector<std::string> heads {
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
    // The body of this one ends with the connection.
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: 2\r\n\r\n",
};

struct exchange_counts {
    int heads = 0;
    int ends = 0;
    int failures = 0;
    bool isReusable = false;

    void add(const std::vector<exchange_event>& events)
    {
        for (const auto& event : events) {
            heads += std::holds_alternative<http_answer_head>(event) ? 1 : 0;
            ends += std::holds_alternative<answer_ended>(event) ? 1 : 0;
            failures += std::holds_alternative<exchange_failed>(event) ? 1 : 0;
        }
    }
};

// Plays bytes that arrive in pieces before the server ends the connection.
exchange_counts playCutAnswer(const std::string& bytes, std::size_t pieceBytes, bool isHeadRequest)
{
    client_connection connection;
    exchange_counts counts;
    connection.begin({ "X-Id", "2" }, isHeadRequest);
    for (std::size_t from = 0; from < bytes.size(); from += pieceBytes)
        counts.add(connection.receive(std::string_view(bytes).substr(from, pieceBytes)));
    if (!connection.isIdle())
        counts.add(connection.receiveEnd("end of the connection"));
    counts.isReusable = connection.isReusable();
    return counts;
}

// Answers each request with the same bytes, and then ends the connection.
class scripted_server {
public:
    scripted_server()
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this] { serve(); })
    {
    }

    ~scripted_server()
    {
        m_stopping = true;
        asio::io_context context;
        asio::ip::tcp::socket wakeUp(context);
        std::error_code ignored;
        wakeUp.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    int port() const { return m_acceptor.local_endpoint().port(); }
    void setAnswer(std::string bytes, bool resets)
    {
        const std::lock_guard lock(m_mutex);
        m_bytes = std::move(bytes);
        m_resets = resets;
    }

private:
    void serve()
    {
        while (!m_stopping) {
            asio::ip::tcp::socket connection(m_context);
            std::error_code failure;
            m_acceptor.accept(connection, failure);
            if (!failure && !m_stopping)
                answer(connection);
        }
    }

    void answer(asio::ip::tcp::socket& connection)
    {
        const std::lock_guard lock(m_mutex);
        std::error_code ignored;
        std::string request;
        asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        asio::write(connection, asio::buffer(m_bytes), ignored);
        if (m_resets)
            connection.set_option(asio::socket_base::linger(true, 0), ignored);
        else
            connection.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        connection.close(ignored);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::string m_bytes;
    bool m_resets = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

// Calls a function with every head that is cut at every byte, once with a close of the connection and once with a reset.
template <typename Function>
void forEachCutHead(scripted_server& server, Function check)
{
    for (const auto& head : heads) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            const bool resets = bytes % 2 == 1;
            CAPTURE(head, bytes, resets);
            server.setAnswer(head.substr(0, bytes), resets);
            check();
        }
    }
}

std::string addressOf(const scripted_server& server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

// What a sidecar reports of one run.
struct run_events {
    std::mutex mutex;
    std::condition_variable changed;
    int heads = 0;
    int finished = 0;
    int failed = 0;

    void add(const sidecar_event& event)
    {
        const std::lock_guard lock(mutex);
        heads += std::holds_alternative<run_head>(event) ? 1 : 0;
        finished += std::holds_alternative<run_finished>(event) ? 1 : 0;
        failed += std::holds_alternative<run_failed>(event) ? 1 : 0;
        changed.notify_all();
    }

    void awaitEnd()
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(20), [this] { return finished + failed > 0; }));
    }
};

void checkRuns(service_kind kind)
{
    scripted_server server;
    run_events* current = nullptr;
    std::mutex mutex;
    upstream_client client({ .host = "127.0.0.1", .port = server.port(), .kind = kind, .probeInterval = std::chrono::hours(1) }, [&](const sidecar_event& event) {
        const std::lock_guard lock(mutex);
        if (current)
            current->add(event);
    });
    run_id run = 0;
    forEachCutHead(server, [&] {
        run_events events;
        {
            const std::lock_guard lock(mutex);
            current = &events;
        }
        start_run start;
        start.run = ++run;
        start.job.kind = kind;
        start.job.method = "POST";
        start.job.path = "/x";
        client.start(start);
        events.awaitEnd();
        const std::lock_guard lock(mutex);
        current = nullptr;
        CHECK(events.heads == 0);
        CHECK(events.finished == 0);
        CHECK(events.failed == 1);
    });
}

} // namespace

TEST_CASE("an answer whose head stops at any byte fails its request at a router", "[http][cut-head]")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string otherAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad";
    for (const auto& head : heads) {
        for (const std::string& before : { std::string(), interim, otherAnswer, otherAnswer + interim }) {
            for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
                for (const std::size_t pieceBytes : { 1, 7, 4096 }) {
                    CAPTURE(before, head, bytes, pieceBytes);
                    const auto counts = playCutAnswer(before + head.substr(0, bytes), pieceBytes, false);
                    CHECK(counts.heads == 0);
                    CHECK(counts.ends == 0);
                    CHECK(counts.failures == 1);
                    CHECK_FALSE(counts.isReusable);
                }
            }
        }
    }
}

// The checks above would show nothing if whole answers failed too.
TEST_CASE("an answer whose head is whole is taken by a router and by a sidecar", "[http][cut-head]")
{
    const auto counts = playCutAnswer(heads.front() + "abcd", 7, false);
    CHECK(counts.heads == 1);
    CHECK(counts.ends == 1);
    scripted_server server;
    server.setAnswer(heads.front() + "abcd", false);
    run_events events;
    upstream_client client({ .host = "127.0.0.1", .port = server.port(), .kind = service_kind::plain, .probeInterval = std::chrono::hours(1) }, [&](const sidecar_event& event) { events.add(event); });
    start_run start;
    start.run = 1;
    start.job.kind = service_kind::plain;
    start.job.method = "POST";
    start.job.path = "/x";
    client.start(start);
    events.awaitEnd();
    CHECK(events.heads == 1);
    CHECK(events.finished == 1);
}

TEST_CASE("a head that stops within an interim answer fails its request at a router", "[http][cut-head]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\nX-Id: 2\r\n\r\n";
    for (std::size_t bytes = 0; bytes <= interim.size(); ++bytes) {
        CAPTURE(bytes);
        for (const bool isHeadRequest : { false, true }) {
            const auto counts = playCutAnswer(interim.substr(0, bytes), 5, isHeadRequest);
            CHECK(counts.heads + counts.ends == 0);
            CHECK(counts.failures == 1);
        }
    }
}

TEST_CASE("an answer whose head stops at any byte fails the run of a sidecar", "[http][cut-head]")
{
    SECTION("engine") { checkRuns(service_kind::engine); }
    SECTION("plain service") { checkRuns(service_kind::plain); }
}

TEST_CASE("an answer whose head stops at any byte is none of the object API", "[http][cut-head]")
{
    scripted_server server;
    const object_api_client client({ .host = "127.0.0.1", .port = server.port() });
    forEachCutHead(server, [&] {
        CHECK(errorOf(client.read("key")));
        CHECK(errorOf(client.watch("key", 1, std::chrono::milliseconds(100))));
        CHECK(errorOf(client.list("prefix")));
        CHECK(errorOf(client.listInstances()));
        CHECK(std::holds_alternative<response_lost>(client.update("key", 1, "value")));
    });
}

TEST_CASE("an answer whose head stops at any byte is none of an admin server and fails a request of the load tool", "[http][cut-head]")
{
    scripted_server server;
    forEachCutHead(server, [&] {
        CHECK(errorOf(fetchFromNodes({ addressOf(server) }, "/dump").front()));
        CHECK(sendLoadRequest("http://" + addressOf(server), load_stream { .path = "/services/x" }, 1, "").result != load_result::complete);
        CHECK(sendLoadRequest("http://" + addressOf(server), load_stream { .path = "/v1/completions" }, 1, "").result != load_result::complete);
    });
}
