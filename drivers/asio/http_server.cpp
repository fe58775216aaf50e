#include "drivers/asio/http_server.h"

#include "drivers/http_parser/request_reader.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <unordered_map>

namespace kumquat {

namespace {

    constexpr std::size_t readBufferBytes = 65536;
    // When more bytes than this wait for a slow caller, appendAnswer() asks its sender to wait for onWritable.
    constexpr std::size_t maxUnsentBytes = 262144;
    // The server stops reading from a connection on which this many bytes of later requests are buffered.
    constexpr std::size_t maxPipelinedBytes = 131072;
    // How often connections are checked for timeouts.
    constexpr auto timeoutCheckInterval = std::chrono::milliseconds(250);
    // A refused caller may still be sending its request. Closing a socket with unread bytes resets the connection, and the
    // caller may lose the answer. Therefore the server discards what it receives after the last answer of a connection and
    // closes the socket after this time, unless the caller closes it first.
    constexpr auto lingerTimeout = std::chrono::seconds(1);
    constexpr int listenBacklog = 1024;

    // What a connection is doing: waiting for a request, reading one, waiting for or sending its answer, or waiting to be
    // closed after its last answer.
    enum class phase { idle,
        reading,
        answering,
        closing };

    std::string formatHead(const http_answer_head& head, bool keepAlive)
    {
        std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
        text += reasonPhrase(head.status);
        text += "\r\n";
        for (const auto& [name, value] : head.headers)
            text += name + ": " + value + "\r\n";
        if (head.contentLength)
            text += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
        else
            text += "Transfer-Encoding: chunked\r\n";
        if (!keepAlive)
            text += "Connection: close\r\n";
        return text + "\r\n";
    }

    std::string formatChunk(std::string_view bytes)
    {
        std::array<char, 20> size {};
        const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        std::string chunk;
        chunk.reserve(bytes.size() + static_cast<std::size_t>(length) + 2);
        chunk.append(size.data(), static_cast<std::size_t>(length));
        chunk.append(bytes);
        return chunk += "\r\n";
    }

    // Returns the HTTP status that answers a request which the reader refused.
    int refusalStatus(request_reader::state state)
    {
        switch (state) {
        case request_reader::state::header_too_large:
            return 431;
        case request_reader::state::body_too_large:
            return 413;
        case request_reader::state::version_unsupported:
            return 505;
        default:
            return 400;
        }
    }

    struct caller_connection {
        connection_id id = 0;
        asio::ip::tcp::socket socket;
        phase currentPhase = phase::idle;
        // When the current phase began; not updated when an answer starts.
        instant phaseStart;
        std::unique_ptr<request_reader> reader;
        // Bytes received after the end of the request in progress.
        std::string pipelinedBytes;
        // Bytes of answers that have not been written to the socket.
        std::string unsentBytes;
        bool keepAlive = true;
        bool isHeadRequest = false;
        bool chunked = false;
        bool writeWaitPending = false;
        bool readWaitPending = false;
        // appendAnswer() has returned false and onWritable has not been called after that.
        bool throttled = false;
        // The interim answer 100 (Continue) has been sent for the current request.
        bool continueSent = false;

        explicit caller_connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
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
    void process(caller_connection&, std::string_view bytes);
    void refuse(caller_connection&, int status);
    void deliver(caller_connection&);
    void write(caller_connection&, std::string_view bytes);
    void awaitWritable(caller_connection&);
    void flush(caller_connection&);
    void onFlushed(caller_connection&);
    void endAnswer(caller_connection&);
    void processPipelined(caller_connection&);
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
    auto accepted = std::make_unique<caller_connection>(std::move(socket));
    accepted->id = ++lastConnectionId;
    accepted->phaseStart = std::chrono::steady_clock::now();
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
    const auto elapsed = now - connection.phaseStart;
    if (connection.currentPhase == phase::idle && elapsed > limits.idleTimeout)
        return close(connection);
    // The complete request, head and body, has to arrive within the sum of both timeouts.
    if (connection.currentPhase == phase::reading && elapsed > limits.headerTimeout + limits.idleTimeout)
        return refuse(connection, 408);
    if (connection.currentPhase == phase::closing && elapsed > lingerTimeout)
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
        if (connection.currentPhase == phase::answering)
            callbacks.onDisconnected(connection.id);
        return close(connection);
    }
    const auto id = connection.id;
    process(connection, { buffer.data(), size });
    auto* remaining = find(id);
    if (remaining && remaining->pipelinedBytes.size() < maxPipelinedBytes)
        awaitReadable(*remaining);
}

void http_server::implementation::process(caller_connection& connection, std::string_view bytes)
{
    if (connection.currentPhase == phase::closing)
        return;
    if (connection.currentPhase == phase::answering) {
        connection.pipelinedBytes.append(bytes);
        return;
    }
    if (connection.currentPhase == phase::idle) {
        connection.currentPhase = phase::reading;
        connection.phaseStart = std::chrono::steady_clock::now();
        connection.continueSent = false;
        connection.reader = std::make_unique<request_reader>(http_read_limits { limits.headerBytes, limits.bodyBytes });
    }
    const auto consumed = connection.reader->feed(bytes);
    const auto state = connection.reader->current();
    if (state == request_reader::state::complete) {
        connection.pipelinedBytes.append(bytes.substr(consumed));
        return deliver(connection);
    }
    if (state != request_reader::state::reading)
        return refuse(connection, refusalStatus(state));
    if (!connection.continueSent && connection.reader->awaitsContinue()) {
        connection.continueSent = true;
        write(connection, "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_server::implementation::refuse(caller_connection& connection, int status)
{
    callbacks.onRefused(status);
    connection.reader.reset();
    connection.keepAlive = false;
    connection.currentPhase = phase::answering;
    http_answer_head head { status, {}, 0, false };
    write(connection, formatHead(head, false));
    endAnswer(connection);
}

void http_server::implementation::deliver(caller_connection& connection)
{
    auto request = connection.reader->take();
    connection.reader.reset();
    connection.keepAlive = request.keepAlive;
    connection.isHeadRequest = request.method == "HEAD";
    connection.currentPhase = phase::answering;
    connection.chunked = false;
    callbacks.onRequest(connection.id, std::move(request));
}

void http_server::implementation::write(caller_connection& connection, std::string_view bytes)
{
    if (connection.unsentBytes.empty()) {
        asio::error_code failure;
        const auto sent = connection.socket.write_some(asio::buffer(bytes.data(), bytes.size()), failure);
        if (failure && failure != asio::error::would_block && failure != asio::error::try_again)
            return;
        bytes.remove_prefix(sent);
    }
    if (bytes.empty())
        return;
    connection.unsentBytes.append(bytes);
    awaitWritable(connection);
}

void http_server::implementation::awaitWritable(caller_connection& connection)
{
    if (connection.writeWaitPending)
        return;
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

void http_server::implementation::flush(caller_connection& connection)
{
    asio::error_code failure;
    const auto sent = connection.socket.write_some(asio::buffer(connection.unsentBytes), failure);
    if (failure && failure != asio::error::would_block && failure != asio::error::try_again) {
        // Reading fails too on a broken connection; that path reports the disconnected caller.
        connection.unsentBytes.clear();
        return awaitReadable(connection);
    }
    connection.unsentBytes.erase(0, sent);
    if (!connection.unsentBytes.empty())
        return awaitWritable(connection);
    onFlushed(connection);
}

void http_server::implementation::onFlushed(caller_connection& connection)
{
    connection.unsentBytes.shrink_to_fit();
    if (connection.currentPhase == phase::closing) {
        asio::error_code ignored;
        connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    if (connection.currentPhase == phase::idle)
        return processPipelined(connection);
    if (!connection.throttled)
        return;
    connection.throttled = false;
    callbacks.onWritable(connection.id);
}

void http_server::implementation::endAnswer(caller_connection& connection)
{
    connection.phaseStart = std::chrono::steady_clock::now();
    connection.throttled = false;
    connection.currentPhase = connection.keepAlive ? phase::idle : phase::closing;
    if (connection.unsentBytes.empty())
        onFlushed(connection);
}

// Processes the buffered bytes of the next request. It is posted to the reactor rather than called directly, because the
// answer may have been sent from within the onRequest handler of the previous request.
void http_server::implementation::processPipelined(caller_connection& connection)
{
    if (connection.pipelinedBytes.empty())
        return;
    asio::post(acceptor.get_executor(), [self = shared_from_this(), id = connection.id] {
        auto* connection = self->find(id);
        if (!connection || connection->currentPhase != phase::idle || connection->pipelinedBytes.empty())
            return;
        const auto bytes = std::move(connection->pipelinedBytes);
        connection->pipelinedBytes.clear();
        self->process(*connection, bytes);
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
    connection->keepAlive = connection->keepAlive && head.keepAlive && !m_implementation->closingAfterAnswers;
    connection->chunked = !head.contentLength;
    m_implementation->write(*connection, formatHead(head, connection->keepAlive));
}

bool http_server::appendAnswer(connection_id id, std::string_view bytes)
{
    auto* connection = m_implementation->find(id);
    if (!connection || connection->isHeadRequest || bytes.empty())
        return true;
    if (connection->chunked)
        m_implementation->write(*connection, formatChunk(bytes));
    else
        m_implementation->write(*connection, bytes);
    connection->throttled = connection->unsentBytes.size() > maxUnsentBytes;
    return !connection->throttled;
}

void http_server::finishAnswer(connection_id id)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    if (connection->chunked && !connection->isHeadRequest)
        m_implementation->write(*connection, "0\r\n\r\n");
    m_implementation->endAnswer(*connection);
}

void http_server::answer(connection_id id, const http_answer_head& head, std::string_view body)
{
    auto* connection = m_implementation->find(id);
    if (!connection)
        return;
    connection->keepAlive = connection->keepAlive && head.keepAlive && !m_implementation->closingAfterAnswers;
    connection->chunked = false;
    auto text = formatHead(head, connection->keepAlive);
    if (!connection->isHeadRequest)
        text += body;
    m_implementation->write(*connection, text);
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

void http_server::closeListenerAndIdleConnections()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    std::vector<caller_connection*> idle;
    for (const auto& [id, connection] : m_implementation->connections) {
        if (connection->currentPhase == phase::idle && connection->unsentBytes.empty() && connection->pipelinedBytes.empty())
            idle.push_back(connection.get());
    }
    for (auto* connection : idle)
        m_implementation->close(*connection);
}

} // namespace kumquat
