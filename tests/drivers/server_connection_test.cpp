#include "drivers/asio/server_connection.h"
#include "tests/support/draws.h"

#include <catch2/catch.hpp>
#include <random>

using namespace kumquat;
using phase = server_connection::phase;

namespace {

// The reference: the requests run once each, in the order in which they were sent and with their own bytes, until one that ends the
// connection or can't be read; each answer is the one to its request, whole, and none begins before the one before has been sent.

using generator = std::mt19937;

constexpr http_read_limits limits { 1000, 2000 };

struct sent_request {
    std::string method;
    std::string body;
    bool endsConnection = false;
    bool isMalformed = false;
    std::string bytes;
};

std::string formatChunked(const std::string& body, generator& random)
{
    std::string text;
    for (std::size_t from = 0; from < body.size();) {
        const auto piece = body.substr(from, 1 + random() % 20);
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        text += size + piece + "\r\n";
        from += piece.size();
    }
    return text + "0\r\n\r\n";
}

// A body that quotes a request, so that bytes which are taken for another request show.
std::string drawBody(generator& random)
{
    const std::string quoted = "\r\n\r\nGET /quoted HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string body;
    for (auto count = random() % 4; count > 0; --count)
        body += random() % 2 == 0 ? quoted : std::string(random() % 50, 'x');
    return body;
}

sent_request drawRequest(int number, generator& random)
{
    static const std::vector<std::string> methods { "GET", "POST", "HEAD" };
    sent_request request;
    request.method = methods[random() % methods.size()];
    request.endsConnection = random() % 12 == 0;
    request.isMalformed = random() % 20 == 0;
    auto head = request.method + " /" + std::to_string(number) + " HTTP/1.1\r\nHost: h\r\n";
    if (request.endsConnection)
        head += "Connection: close\r\n";
    if (request.isMalformed)
        head += "Content-Length: 3\r\nContent-Length: 4\r\n";
    if (!request.isMalformed && request.method == "POST")
        request.body = drawBody(random);
    const bool isChunked = random() % 2 == 0;
    if (!request.body.empty())
        head += isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    request.bytes = head + "\r\n";
    if (!request.body.empty())
        request.bytes += isChunked ? formatChunked(request.body, random) : request.body;
    return request;
}

// Plays a connection whose caller sends some requests without waiting, and takes what is sent to it in pieces.
class connection_play {
public:
    explicit connection_play(unsigned seed)
        : m_random(seed)
        , m_connection(instant())
    {
        for (int number = 0; number < 1 + static_cast<int>(m_random() % 6); ++number)
            m_requests.push_back(drawRequest(number, m_random));
        for (const auto& request : m_requests)
            m_callerBytes += request.bytes;
    }

    void run()
    {
        // Enough steps for every byte, so that a connection that stands still is seen.
        for (int steps = 0; steps < 20000 && !isOver(); ++steps)
            step();
    }

    // The requests that run, by the reference.
    std::vector<sent_request> expectedRequests() const
    {
        std::vector<sent_request> expected;
        for (const auto& request : m_requests) {
            if (request.isMalformed)
                break;
            expected.push_back(request);
            if (request.endsConnection)
                break;
        }
        return expected;
    }

    // All that is sent to the caller, by the reference.
    std::string expectedBytes() const
    {
        const auto expected = expectedRequests();
        std::string text;
        for (std::size_t index = 0; index < expected.size(); ++index)
            text += m_heads.at(index) + (expected[index].endsConnection ? "Connection: close\r\n\r\n" : "\r\n") + (expected[index].method == "HEAD" ? "" : m_bodies.at(index));
        const bool isRefused = expected.size() < m_requests.size() && (expected.empty() || !expected.back().endsConnection);
        return isRefused ? text + "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" : text;
    }

    std::vector<http_request> ran;
    std::string sent;
    bool beganBeforeAnswerWasSent = false;

private:
    bool isOver() const
    {
        const auto current = m_connection.current();
        return current == phase::closing || (current == phase::idle && m_received == m_callerBytes.size() && m_connection.waitingBytes() == 0);
    }

    void step()
    {
        switch (m_random() % 3) {
        case 0:
            return receive();
        case 1:
            return answer();
        default:
            return send();
        }
    }

    void act(received_request&& received, bool wasUnsent)
    {
        if (auto* request = std::get_if<http_request>(&received)) {
            beganBeforeAnswerWasSent = beganBeforeAnswerWasSent || wasUnsent;
            ran.push_back(std::move(*request));
        }
    }

    void receive()
    {
        const auto size = std::min<std::size_t>(m_callerBytes.size() - m_received, m_random() % 60);
        const bool wasUnsent = !m_connection.unsent().empty();
        const auto piece = m_callerBytes.substr(m_received, size);
        m_received += size;
        act(m_connection.receive(piece, limits, instant()), wasUnsent);
    }

    void answer()
    {
        if (!m_connection.isAnswering())
            return;
        if (m_heads.size() < ran.size())
            return beginAnswer();
        if (m_random() % 3 == 0) {
            m_connection.finishAnswer(instant());
            m_bodies.back() += m_isChunked ? "0\r\n\r\n" : "";
            return;
        }
        if (!m_isChunked)
            return;
        m_connection.appendAnswer("event of " + ran.back().target);
        m_bodies.back() += "b\r\nevent of " + ran.back().target + "\r\n";
    }

    void beginAnswer()
    {
        m_isChunked = m_random() % 2 == 0;
        const auto body = "whole answer to " + ran.back().target;
        http_answer_head head { 200, {}, std::nullopt, true };
        if (!m_isChunked)
            head.contentLength = body.size();
        m_connection.beginAnswer(head, true);
        m_heads.push_back("HTTP/1.1 200 OK\r\n" + (m_isChunked ? std::string("Transfer-Encoding: chunked\r\n") : "Content-Length: " + std::to_string(body.size()) + "\r\n"));
        m_bodies.push_back(m_isChunked ? "" : body);
        if (!m_isChunked)
            m_connection.appendAnswer(body);
    }

    void send()
    {
        const auto size = std::min<std::size_t>(m_connection.unsent().size(), m_random() % 40);
        sent += m_connection.unsent().substr(0, size);
        m_connection.markSent(size, instant());
        if (m_connection.current() == phase::idle && m_connection.waitingBytes() > 0)
            act(m_connection.readOn(limits, instant()), false);
    }

    generator m_random;
    server_connection m_connection;
    std::vector<sent_request> m_requests;
    std::string m_callerBytes;
    std::size_t m_received = 0;
    bool m_isChunked = false;
    std::vector<std::string> m_heads;
    std::vector<std::string> m_bodies;
};

} // namespace

TEST_CASE("pipelined requests run once each, in order and as sent, however slowly their answers are read", "[http][property]")
{
    for (unsigned seed = 1; seed <= playedDraws(10000); ++seed) {
        CAPTURE(seed);
        connection_play play(seed);
        play.run();
        const auto expected = play.expectedRequests();
        REQUIRE(play.ran.size() == expected.size());
        for (std::size_t index = 0; index < expected.size(); ++index) {
            REQUIRE(play.ran[index].target == "/" + std::to_string(index));
            REQUIRE(play.ran[index].method == expected[index].method);
            REQUIRE(play.ran[index].body == expected[index].body);
        }
        REQUIRE(play.sent == play.expectedBytes());
        REQUIRE_FALSE(play.beganBeforeAnswerWasSent);
    }
}

TEST_CASE("the times of a connection count from the last byte that its caller took", "[http]")
{
    const instant start;
    server_connection connection(start);
    connection.receive("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", limits, start);
    REQUIRE(connection.current() == phase::answering);
    connection.beginAnswer({ 200, {}, 5, true }, true);
    connection.appendAnswer("whole");
    connection.finishAnswer(start + std::chrono::seconds(1));
    CHECK(connection.current() == phase::sending);
    CHECK(connection.phaseStart() == start + std::chrono::seconds(1));
    connection.markSent(connection.unsent().size() - 1, start + std::chrono::seconds(5));
    CHECK(connection.current() == phase::sending);
    CHECK(connection.phaseStart() == start + std::chrono::seconds(5));
    connection.markSent(1, start + std::chrono::seconds(9));
    CHECK(connection.current() == phase::closing);
    CHECK(connection.phaseStart() == start + std::chrono::seconds(9));
    connection.receive("GET /y HTTP/1.1\r\nHost: h\r\n\r\n", limits, start + std::chrono::seconds(9));
    CHECK(connection.waitingBytes() == 0);
}
