// Plays one form of clients that are not controlled against a port of a router: it opens a number of connections, sends on each what
// the form asks for, prints one line once no connection takes any more bytes, and keeps the connections open until it is killed.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The limits that the router's configuration names (router_surroundings_main.cpp).
constexpr std::size_t maxBodyBytes = 4194304;
constexpr std::size_t maxHeaderBytes = 16384;

// No connection has taken bytes for this long: the router has read what it is going to read.
constexpr auto settleTime = milliseconds(400);
constexpr auto maxPlayTime = milliseconds(4000);
constexpr auto roundInterval = milliseconds(2);
constexpr auto slowInterval = milliseconds(50);
constexpr std::size_t wholePiece = 1 << 20;
constexpr std::size_t smallPiece = 1000;
// Kept small so that unread answers stay at the router.
constexpr int receiveBufferBytes = 4096;

// What one client does.
struct client_plan {
    std::string head;
    // Sent over and over after the head, up to a number of bytes.
    std::string block;
    std::size_t blockBytes = 0;
    std::size_t pieceBytes = wholePiece;
    // Sends and reads one byte at a time, with a pause after each.
    bool sendsSlowly = false;
    bool readsSlowly = false;
    // Shuts its sending side down after the last byte.
    bool closesSendingSide = false;
};

class hostile_client {
public:
    hostile_client(int port, client_plan plan)
        : m_plan(std::move(plan))
        , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            std::cerr << "a client can't connect: error " << errno << '\n';
    }

    // Sends and reads what is due. Returns whether the router has taken bytes.
    bool play(steady::time_point now)
    {
        if (m_broken)
            return false;
        if (m_plan.readsSlowly && now >= m_readsAt) {
            char byte = 0;
            if (::recv(m_socket, &byte, 1, 0) == 0)
                m_broken = true;
            m_readsAt = now + slowInterval;
        }
        if (m_plan.sendsSlowly && now < m_sendsAt)
            return false;
        m_sendsAt = now + slowInterval;
        return sendPiece();
    }

    bool isOpen() const { return !m_broken; }
    std::size_t sentBytes() const { return m_sent; }
    bool sendsSlowly() const { return m_plan.sendsSlowly; }

private:
    bool sendPiece()
    {
        const auto piece = nextPiece();
        if (piece.empty()) {
            if (m_plan.closesSendingSide)
                ::shutdown(m_socket, SHUT_WR);
            m_plan.closesSendingSide = false;
            return false;
        }
        const auto size = ::send(m_socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (size > 0)
            m_sent += static_cast<std::size_t>(size);
        else if (errno != EAGAIN && errno != ENOTCONN)
            m_broken = true;
        return size > 0;
    }

    std::string nextPiece() const
    {
        const auto total = m_plan.head.size() + m_plan.blockBytes;
        const auto size = std::min(m_plan.sendsSlowly ? 1 : m_plan.pieceBytes, total - m_sent);
        if (m_sent < m_plan.head.size())
            return m_plan.head.substr(m_sent, size);
        std::string piece;
        auto position = (m_sent - m_plan.head.size()) % std::max<std::size_t>(m_plan.block.size(), 1);
        while (piece.size() < size) {
            piece += m_plan.block.substr(position, size - piece.size());
            position = 0;
        }
        return piece;
    }

    client_plan m_plan;
    int m_socket;
    std::size_t m_sent = 0;
    bool m_broken = false;
    steady::time_point m_readsAt;
    steady::time_point m_sendsAt;
};

std::string requestHead(const std::string& method, const std::string& path, int number, const std::string& headers)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Attempt-Id: crowd-" + std::to_string(number) + "\r\n" + headers + "\r\n";
}

std::string lengthHeader(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }

std::string chunkOf(std::size_t bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'x') + "\r\n";
}

// A body of legal size of which the last byte or chunk is missing.
client_plan unfinishedBody(const std::string& path, int number, std::size_t pieceBytes)
{
    return { .head = requestHead("POST", path, number, lengthHeader(maxBodyBytes)), .block = std::string(smallPiece, 'x'), .blockBytes = maxBodyBytes - 1, .pieceBytes = pieceBytes };
}

client_plan unfinishedChunks(const std::string& path, int number, std::size_t bytes)
{
    const auto chunk = chunkOf(smallPiece);
    return { .head = requestHead("POST", path, number, "Transfer-Encoding: chunked\r\n"), .block = chunk, .blockBytes = bytes / smallPiece * chunk.size() };
}

// A complete head of nearly the legal size, in fields of four bytes, and a body that does not come.
client_plan shortFields(const std::string& path, int number)
{
    const auto bare = requestHead("POST", path, number, lengthHeader(10));
    std::string fields;
    while (bare.size() + fields.size() + 4 <= maxHeaderBytes)
        fields += "a:\r\n";
    return { .head = requestHead("POST", path, number, lengthHeader(10) + fields) };
}

// Requests without a key whose heads have nearly the legal size. One half of each is a Connection header that lists many names, the other
// half many fields.
client_plan expensiveHeads(const std::string& path)
{
    constexpr std::size_t requestsAhead = 25;
    std::string head = "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: dear\r\nConnection: b";
    while (head.size() + 2 <= maxHeaderBytes / 2)
        head += ",b";
    head += "\r\n";
    while (head.size() + 6 <= maxHeaderBytes)
        head += "a:\r\n";
    head += "\r\n";
    return { .block = head, .blockBytes = requestsAhead * head.size() };
}

client_plan slowSender(const std::string& path, int number)
{
    // One half sends the head slowly, the other half the body.
    client_plan plan { .block = "x", .blockBytes = 1000, .sendsSlowly = true };
    if (number % 2 == 0)
        plan.block = requestHead("POST", path, number, lengthHeader(1000));
    else
        plan.head = requestHead("POST", path, number, lengthHeader(100000)) + std::string(1000, 'x');
    plan.pieceBytes = 1;
    return plan;
}

client_plan halfOpen(const std::string& path, int number)
{
    const auto head = requestHead("GET", path, number, "");
    switch (number % 3) {
    case 0:
        return {};
    case 1:
        return { .head = head.substr(0, head.size() / 2) };
    default:
        return { .head = head, .closesSendingSide = true };
    }
}

std::optional<client_plan> planOf(std::string_view form, const std::string& path, int number)
{
    if (form == "body_whole")
        return unfinishedBody(path, number, wholePiece);
    if (form == "body_pieces")
        return unfinishedBody(path, number, smallPiece);
    if (form == "body_chunked")
        return unfinishedChunks(path, number, maxBodyBytes - smallPiece);
    if (form == "body_complete") {
        auto plan = unfinishedBody(path, number, wholePiece);
        plan.blockBytes = maxBodyBytes;
        return plan;
    }
    if (form == "body_over") {
        if (number % 2 == 0)
            return unfinishedChunks(path, number, 4 * maxBodyBytes);
        return client_plan { .head = requestHead("POST", path, number, lengthHeader(16 * maxBodyBytes)), .block = std::string(smallPiece, 'x'), .blockBytes = 4 * maxBodyBytes };
    }
    if (form == "short_fields")
        return shortFields(path, number);
    if (form == "expensive_heads")
        return expensiveHeads(path);
    if (form == "pipeline")
        return client_plan { .block = requestHead("GET", path, number, ""), .blockBytes = 400000 };
    if (form == "slow_send")
        return slowSender(path, number);
    if (form == "slow_read")
        return client_plan { .head = requestHead("GET", path, number, ""), .readsSlowly = true };
    if (form == "half_open")
        return halfOpen(path, number);
    return std::nullopt;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 5 || !planOf(arguments[1], arguments[3], 0)) {
        std::cerr << "usage: stand-in-hostile-clients FORM PORT PATH CLIENTS\n";
        return 2;
    }
    const int count = std::atoi(arguments[4]);
    std::vector<hostile_client> clients;
    clients.reserve(static_cast<std::size_t>(std::max(0, count)));
    for (int number = 0; number < count; ++number)
        clients.emplace_back(std::atoi(arguments[2]), *planOf(arguments[1], arguments[3], number));
    const auto start = steady::now();
    auto lastProgress = start;
    bool settled = false;
    while (true) {
        const auto now = steady::now();
        for (auto& client : clients) {
            // Slow clients go on for longer than the form is played.
            if (client.play(now) && !client.sendsSlowly())
                lastProgress = now;
        }
        if (!settled && (now - lastProgress > settleTime || now - start > maxPlayTime)) {
            settled = true;
            std::size_t sent = 0;
            for (const auto& client : clients)
                sent += client.sentBytes();
            std::cout << "settled, sent " << sent << ", open " << std::count_if(clients.begin(), clients.end(), [](const auto& client) { return client.isOpen(); }) << std::endl;
        }
        std::this_thread::sleep_for(roundInterval);
    }
}
