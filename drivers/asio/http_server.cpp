#include "drivers/asio/http_server.h"

#include "drivers/asio/server_connection.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>

namespace kumquat {

namespace {

    constexpr std::size_t readBufferBytes = 65536;
    // When more bytes than this wait for a slow caller, appendAnswer() asks its sender to wait for onWritable.
    constexpr std::size_t maxUnsentBytes = 262144;
    // The server stops reading from a connection on which this many bytes of later requests are buffered.
    constexpr std::size_t maxWaitingBytes = 131072;
    // How often connections are checked for timeouts.
    constexpr auto timeoutCheckInterval = std::chrono::milliseconds(250);
    // A refused caller may still be sending its request. Closing a socket with unread bytes resets the connection, and the
    // caller may lose the answer. Therefore the server discards what it receives after the last answer of a connection and
    // closes the socket after this time, unless the caller closes it first.
    constexpr auto lingerTimeout = std::chrono::seconds(1);
    constexpr int listenBacklog = 1024;

    struct caller_connection {
        connection_id id = 0;
        asio::ip::tcp::socket socket;
        server_connection state;
        bool writeWaitPending = false;
        bool readWaitPending = false;
        // appendAnswer() has returned false and onWritable has not been called after that.
        bool throttled = false;

        caller_connection(connection_id number, asio::ip::tcp::socket accepted)
            : id(number)
            , socket(std::move(accepted))
            , state(std::chrono::steady_clock::now())
        {
        }
    };

} // namespace

struct http_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, handlers callbacks)
        : acceptor(context)
        , timeoutCheckTimer(context)
        , callbacks(std::move(callbacks))
    {
    }

    void accept();
    void addConnection(asio::ip::tcp::socket);
    void scheduleTimeoutCheck();
    void checkTimeouts(caller_connection&, instant now);
    void awaitReadable(caller_connection&);
    void readSome(caller_connection&);
    void act(connection_id, received_request&&);
    void flush(caller_connection&);
    void awaitWritable(caller_connection&);
    void onSent(caller_connection&);
    void endAnswer(caller_connection&);
    void readOnLater(connection_id);
    http_read_limits readLimits() const { return { limits.headerBytes, limits.bodyBytes }; }
    void close(caller_connection&);
    caller_connection* find(connection_id);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timeoutCheckTimer;
    handlers callbacks;
    caller_limits limits;
    std::unordered_map<connection_id, std::unique_ptr<caller_connection>> connections;
    std::array<char, readBufferBytes> buffer {};
    connection_id lastConnectionId = 0;
    bool closingAfterAnswers = false;
};

caller_connection* http_server::implementation::find(connection_id id)
{
    const auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second.get();
}

void http_server::implementation::accept()
{
    acceptor.async_accept([self = shared_from_this()](const asio::error_code& failure, asio::ip::tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure)
            self->addConnection(std::move(socket));
        if (self->acceptor.is_open())
            self->accept();
    });
}

void http_server::implementation::addConnection(asio::ip::tcp::socket socket)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.non_blocking(true, ignored);
    auto accepted = std::make_unique<caller_connection>(++lastConnectionId, std::move(socket));
    auto& added = *accepted;
    connections.emplace(added.id, std::move(accepted));
    awaitReadable(added);
}

void http_server::implementation::scheduleTimeoutCheck()
{
    timeoutCheckTimer.expires_after(timeoutCheckInterval);
    timeoutCheckTimer.async_wait([self = shared_from_this()](const asio::error_code& failure) {
        if (failure)
            return;
        const auto now = std::chrono::steady_clock::now();
        // checkTimeouts() may erase the connection from the map, so the loop runs over a copy of the pointers.
        std::vector<caller_connection*> connectionsToCheck;
        connectionsToCheck.reserve(self->connections.size());
        for (const auto& [id, connection] : self->connections)
            connectionsToCheck.push_back(connection.get());
        for (auto* connection : connectionsToCheck)
            self->checkTimeouts(*connection, now);
        self->scheduleTimeoutCheck();
    });
}

void http_server::implementation::checkTimeouts(caller_connection& connection, instant now)
{
    using phase = server_connection::phase;
    const auto elapsed = now - connection.state.phaseStart();
    const auto current = connection.state.current();
    if (current == phase::idle && elapsed > limits.idleTimeout)
        return close(connection);
    // The complete request, head and body, has to arrive within the sum of both timeouts.
    if (current == phase::reading && elapsed > limits.headerTimeout + limits.idleTimeout) {
        connection.state.refuse(408, now);
        callbacks.onRefused(408);
        return flush(connection);
    }
    // The caller has stopped reading its answer.
    if (current == phase::sending && elapsed > limits.idleTimeout)
        return close(connection);
    if (current == phase::closing && elapsed > lingerTimeout)
        return close(connection);
}

void http_server::implementation::awaitReadable(caller_connection& connection)
{
    if (connection.readWaitPending)
        return;
    connection.readWaitPending = true;
    connection.socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this(), id = connection.id](const asio::error_code& failure) {
        auto* connection = self->find(id);
        if (!connection)
            return;
        connection->readWaitPending = false;
        if (!failure)
            self->readSome(*connection);
    });
}

void http_server::implementation::readSome(caller_connection& connection)
{
    asio::error_code failure;
    const auto size = connection.socket.read_some(asio::buffer(buffer), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
        return awaitReadable(connection);
    if (failure) {
        if (connection.state.isAnswering())
            callbacks.onDisconnected(connection.id);
        return close(connection);
    }
    const auto id = connection.id;
    act(id, connection.state.receive({ buffer.data(), size }, readLimits(), std::chrono::steady_clock::now()));
    auto* remaining = find(id);
    if (remaining && remaining->state.waitingBytes() < maxWaitingBytes)
        awaitReadable(*remaining);
}

void http_server::implementation::act(connection_id id, received_request&& received)
{
    if (const auto* refused = std::get_if<refused_request>(&received))
        callbacks.onRefused(refused->status);
    if (auto* request = std::get_if<http_request>(&received))
        return callbacks.onRequest(id, std::move(*request));
    if (auto* connection = find(id))
        flush(*connection);
}

void http_server::implementation::flush(caller_connection& connection)
{
    if (connection.writeWaitPending || connection.state.unsent().empty())
        return;
    asio::error_code failure;
    const auto unsent = connection.state.unsent();
    const auto sent = connection.socket.write_some(asio::buffer(unsent.data(), unsent.size()), failure);
    if (failure && failure != asio::error::would_block && failure != asio::error::try_again) {
        // Reading fails too on a broken connection; that path reports the disconnected caller.
        connection.state.markSent(unsent.size(), std::chrono::steady_clock::now());
        return awaitReadable(connection);
    }
    connection.state.markSent(sent, std::chrono::steady_clock::now());
    if (!connection.state.unsent().empty())
        return awaitWritable(connection);
    onSent(connection);
}

void http_server::implementation::awaitWritable(caller_connection& connection)
{
    connection.writeWaitPending = true;
    connection.socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this(), id = connection.id](const asio::error_code& failure) {
        auto* connection = self->find(id);
        if (!connection)
            return;
        connection->writeWaitPending = false;
        if (!failure)
            self->flush(*connection);
    });
}

void http_server::implementation::onSent(caller_connection& connection)
{
    using phase = server_connection::phase;
    const auto current = connection.state.current();
    if (current == phase::closing) {
        asio::error_code ignored;
        connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        awaitReadable(connection);
    }
    if (current == phase::idle && connection.state.waitingBytes() > 0)
        readOnLater(connection.id);
    if (std::exchange(connection.throttled, false) && current == phase::answering)
        callbacks.onWritable(connection.id);
}

void http_server::implementation::endAnswer(caller_connection& connection)
{
    connection.throttled = false;
    if (connection.state.unsent().empty())
        return onSent(connection);
    flush(connection);
}

// Reads on with the bytes of the next request. It is posted to the reactor rather than called directly, because the answer may have
// been sent from within the onRequest handler of the previous request.
void http_server::implementation::readOnLater(connection_id id)
{
    asio::post(acceptor.get_executor(), [self = shared_from_this(), id] {
        auto* connection = self->find(id);
        if (!connection)
            return;
        self->act(id, connection->state.readOn(self->readLimits(), std::chrono::steady_clock::now()));
        if (auto* remaining = self->find(id))
            self->awaitReadable(*remaining);
    });
}

void http_server::implementation::close(caller_connection& connection)
{
    asio::error_code ignored;
    connection.socket.close(ignored);
    connections.erase(connection.id);
}

http_server::http_server(std::shared_ptr<implementation> opened)
    : m_implementation(std::move(opened))
{
}

http_server::~http_server()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->timeoutCheckTimer.cancel();
    m_implementation->connections.clear();
}

result<std::unique_ptr<http_server>> http_server::open(reactor& loop, const endpoint& address, handlers callbacks)
{
    auto opened = std::make_shared<implementation>(loop.context(), std::move(callbacks));
    asio::error_code failure;
    const auto host = asio::ip::make_address_v4(address.host, failure);
    if (failure)
        return error { "listen address '" + formatEndpoint(address) + "' is not an IPv4 address and port" };
    const asio::ip::tcp::endpoint local(host, address.port);
    opened->acceptor.open(local.protocol(), failure);
    opened->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    opened->acceptor.bind(local, failure);
    if (!failure)
        opened->acceptor.listen(listenBacklog, failure);
    if (failure)
        return error { "cannot listen on '" + formatEndpoint(address) + "': " + failure.message() };
    opened->accept();
    opened->scheduleTimeoutCheck();
    return std::unique_ptr<http_server>(new http_server(std::move(opened)));
}

void http_server::setLimits(const caller_limits& limits)
{
    m_implementation->limits = limits;
}

void http_server::beginAnswer(connection_id id, const http_answer_head& head)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.beginAnswer(head, !m_implementation->closingAfterAnswers);
    m_implementation->flush(*connection);
}

bool http_server::appendAnswer(connection_id id, std::string_view bytes)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return true;
    connection->state.appendAnswer(bytes);
    m_implementation->flush(*connection);
    connection->throttled = connection->state.unsent().size() > maxUnsentBytes;
    return !connection->throttled;
}

void http_server::finishAnswer(connection_id id)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.finishAnswer(std::chrono::steady_clock::now());
    m_implementation->endAnswer(*connection);
}

void http_server::answer(connection_id id, const http_answer_head& head, std::string_view body)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->state.beginAnswer(head, !m_implementation->closingAfterAnswers);
    connection->state.appendAnswer(body);
    connection->state.finishAnswer(std::chrono::steady_clock::now());
    m_implementation->endAnswer(*connection);
}

void http_server::abortAnswer(connection_id id)
{
    if (auto* connection = m_implementation->find(id))
        m_implementation->close(*connection);
}

void http_server::closeAfterAnswers()
{
    m_implementation->closingAfterAnswers = true;
}

bool http_server::hasUnsentAnswers() const
{
    const auto& connections = m_implementation->connections;
    return std::any_of(connections.begin(), connections.end(), [](const auto& item) { return !item.second->state.unsent().empty(); });
}

void http_server::closeListenerAndIdleConnections()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    std::vector<caller_connection*> idle;
    for (const auto& [id, connection] : m_implementation->connections) {
        if (connection->state.current() == server_connection::phase::idle && connection->state.waitingBytes() == 0)
            idle.push_back(connection.get());
    }
    for (auto* connection : idle)
        m_implementation->close(*connection);
}

} // namespace kumquat
