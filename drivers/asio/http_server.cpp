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
    constexpr auto sweepInterval = std::chrono::milliseconds(250);
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

    struct connection {
        connection_id id = 0;
        asio::ip::tcp::socket socket;
        phase current = phase::idle;
        // When the current phase began; not updated when an answer starts.
        instant since;
        std::unique_ptr<request_reader> reader;
        // Bytes received after the end of the request in progress.
        std::string pipelined;
        // Bytes of answers that have not been written to the socket.
        std::string unsent;
        bool keepAlive = true;
        bool toHeadRequest = false;
        bool chunked = false;
        bool writeWaiting = false;
        bool readWaiting = false;
        // appendAnswer() has returned false and onWritable has not been called since.
        bool throttled = false;
        // The interim answer 100 (Continue) has been sent for the current request.
        bool continueSent = false;

        explicit connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
    };

} // namespace

struct http_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, handlers callbacks)
        : acceptor(context)
        , sweepTimer(context)
        , callbacks(std::move(callbacks))
    {
    }

    void accept();
    void adopt(asio::ip::tcp::socket);
    void sweep();
    void closeOverdue(connection&, instant now);
    void awaitReadable(connection&);
    void readSome(connection&);
    void process(connection&, std::string_view bytes);
    void refuse(connection&, int status);
    void deliver(connection&);
    void write(connection&, std::string_view bytes);
    void awaitWritable(connection&);
    void flush(connection&);
    void afterFlush(connection&);
    void endAnswer(connection&);
    void startNext(connection&);
    void close(connection&);
    connection* find(connection_id);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    handlers callbacks;
    caller_limits limits;
    std::unordered_map<connection_id, std::unique_ptr<connection>> connections;
    std::array<char, readBufferBytes> buffer {};
    connection_id lastId = 0;
    bool lastAnswers = false;
};

connection* http_server::implementation::find(connection_id id)
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
            self->adopt(std::move(socket));
        if (self->acceptor.is_open())
            self->accept();
    });
}

void http_server::implementation::adopt(asio::ip::tcp::socket socket)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.non_blocking(true, ignored);
    auto accepted = std::make_unique<connection>(std::move(socket));
    accepted->id = ++lastId;
    accepted->since = std::chrono::steady_clock::now();
    auto& added = *accepted;
    connections.emplace(added.id, std::move(accepted));
    awaitReadable(added);
}

void http_server::implementation::sweep()
{
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const asio::error_code& failure) {
        if (failure)
            return;
        const auto now = std::chrono::steady_clock::now();
        std::vector<connection*> all;
        all.reserve(self->connections.size());
        for (const auto& [id, item] : self->connections)
            all.push_back(item.get());
        for (auto* item : all)
            self->closeOverdue(*item, now);
        self->sweep();
    });
}

void http_server::implementation::closeOverdue(connection& item, instant now)
{
    const auto age = now - item.since;
    if (item.current == phase::idle && age > limits.idleTimeout)
        return close(item);
    if (item.current == phase::reading && age > limits.headerTimeout + limits.idleTimeout)
        return refuse(item, 408);
    if (item.current == phase::closing && age > lingerTimeout)
        return close(item);
}

void http_server::implementation::awaitReadable(connection& item)
{
    if (item.readWaiting)
        return;
    item.readWaiting = true;
    item.socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this(), id = item.id](const asio::error_code& failure) {
        auto* item = self->find(id);
        if (!item)
            return;
        item->readWaiting = false;
        if (!failure)
            self->readSome(*item);
    });
}

void http_server::implementation::readSome(connection& item)
{
    asio::error_code failure;
    const auto size = item.socket.read_some(asio::buffer(buffer), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
        return awaitReadable(item);
    if (failure) {
        if (item.current == phase::answering)
            callbacks.onGone(item.id);
        return close(item);
    }
    const auto id = item.id;
    process(item, { buffer.data(), size });
    auto* remaining = find(id);
    if (remaining && remaining->pipelined.size() < maxPipelinedBytes)
        awaitReadable(*remaining);
}

void http_server::implementation::process(connection& item, std::string_view bytes)
{
    if (item.current == phase::closing)
        return;
    if (item.current == phase::answering) {
        item.pipelined.append(bytes);
        return;
    }
    if (item.current == phase::idle) {
        item.current = phase::reading;
        item.since = std::chrono::steady_clock::now();
        item.continueSent = false;
        item.reader = std::make_unique<request_reader>(http_read_limits { limits.headerBytes, limits.bodyBytes });
    }
    const auto taken = item.reader->feed(bytes);
    const auto state = item.reader->current();
    if (state == request_reader::state::complete) {
        item.pipelined.append(bytes.substr(taken));
        return deliver(item);
    }
    if (state != request_reader::state::reading)
        return refuse(item, refusalStatus(state));
    if (!item.continueSent && item.reader->awaitsContinue()) {
        item.continueSent = true;
        write(item, "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_server::implementation::refuse(connection& item, int status)
{
    callbacks.onRefused(status);
    item.reader.reset();
    item.keepAlive = false;
    item.current = phase::answering;
    http_answer_head head { status, {}, 0, false };
    write(item, formatHead(head, false));
    endAnswer(item);
}

void http_server::implementation::deliver(connection& item)
{
    auto request = item.reader->take();
    item.reader.reset();
    item.keepAlive = request.keepAlive;
    item.toHeadRequest = request.method == "HEAD";
    item.current = phase::answering;
    item.chunked = false;
    callbacks.onRequest(item.id, std::move(request));
}

void http_server::implementation::write(connection& item, std::string_view bytes)
{
    if (item.unsent.empty()) {
        asio::error_code failure;
        const auto sent = item.socket.write_some(asio::buffer(bytes.data(), bytes.size()), failure);
        if (failure && failure != asio::error::would_block && failure != asio::error::try_again)
            return;
        bytes.remove_prefix(sent);
    }
    if (bytes.empty())
        return;
    item.unsent.append(bytes);
    awaitWritable(item);
}

void http_server::implementation::awaitWritable(connection& item)
{
    if (item.writeWaiting)
        return;
    item.writeWaiting = true;
    item.socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this(), id = item.id](const asio::error_code& failure) {
        auto* item = self->find(id);
        if (!item)
            return;
        item->writeWaiting = false;
        if (!failure)
            self->flush(*item);
    });
}

void http_server::implementation::flush(connection& item)
{
    asio::error_code failure;
    const auto sent = item.socket.write_some(asio::buffer(item.unsent), failure);
    if (failure && failure != asio::error::would_block && failure != asio::error::try_again) {
        // Reading fails too on a broken connection; that path reports the disconnected caller.
        item.unsent.clear();
        return awaitReadable(item);
    }
    item.unsent.erase(0, sent);
    if (!item.unsent.empty())
        return awaitWritable(item);
    afterFlush(item);
}

void http_server::implementation::afterFlush(connection& item)
{
    item.unsent.shrink_to_fit();
    if (item.current == phase::closing) {
        asio::error_code ignored;
        item.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    if (item.current == phase::idle)
        return startNext(item);
    if (!item.throttled)
        return;
    item.throttled = false;
    callbacks.onWritable(item.id);
}

void http_server::implementation::endAnswer(connection& item)
{
    item.since = std::chrono::steady_clock::now();
    item.throttled = false;
    item.current = item.keepAlive ? phase::idle : phase::closing;
    if (item.unsent.empty())
        afterFlush(item);
}

// Processes the buffered bytes of the next request. It is posted to the reactor rather than called directly, because the
// answer may have been sent from within the onRequest handler of the previous request.
void http_server::implementation::startNext(connection& item)
{
    if (item.pipelined.empty())
        return;
    asio::post(acceptor.get_executor(), [self = shared_from_this(), id = item.id] {
        auto* item = self->find(id);
        if (!item || item->current != phase::idle || item->pipelined.empty())
            return;
        const auto bytes = std::move(item->pipelined);
        item->pipelined.clear();
        self->process(*item, bytes);
        if (auto* remaining = self->find(id))
            self->awaitReadable(*remaining);
    });
}

void http_server::implementation::close(connection& item)
{
    asio::error_code ignored;
    item.socket.close(ignored);
    connections.erase(item.id);
}

http_server::http_server(std::shared_ptr<implementation> opened)
    : m_implementation(std::move(opened))
{
}

http_server::~http_server()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->sweepTimer.cancel();
    m_implementation->connections.clear();
}

result<std::unique_ptr<http_server>> http_server::open(reactor& owner, const endpoint& address, handlers callbacks)
{
    auto opened = std::make_shared<implementation>(owner.context(), std::move(callbacks));
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
    opened->sweep();
    return std::unique_ptr<http_server>(new http_server(std::move(opened)));
}

void http_server::setLimits(const caller_limits& limits)
{
    m_implementation->limits = limits;
}

void http_server::beginAnswer(connection_id id, const http_answer_head& head)
{
    auto* item = m_implementation->find(id);
    if (!item)
        return;
    item->keepAlive = item->keepAlive && head.keepAlive && !m_implementation->lastAnswers;
    item->chunked = !head.contentLength;
    m_implementation->write(*item, formatHead(head, item->keepAlive));
}

bool http_server::appendAnswer(connection_id id, std::string_view bytes)
{
    auto* item = m_implementation->find(id);
    if (!item || item->toHeadRequest || bytes.empty())
        return true;
    if (item->chunked)
        m_implementation->write(*item, formatChunk(bytes));
    else
        m_implementation->write(*item, bytes);
    item->throttled = item->unsent.size() > maxUnsentBytes;
    return !item->throttled;
}

void http_server::finishAnswer(connection_id id)
{
    auto* item = m_implementation->find(id);
    if (!item)
        return;
    if (item->chunked && !item->toHeadRequest)
        m_implementation->write(*item, "0\r\n\r\n");
    m_implementation->endAnswer(*item);
}

void http_server::answer(connection_id id, const http_answer_head& head, std::string_view body)
{
    auto* item = m_implementation->find(id);
    if (!item)
        return;
    item->keepAlive = item->keepAlive && head.keepAlive && !m_implementation->lastAnswers;
    item->chunked = false;
    auto text = formatHead(head, item->keepAlive);
    if (!item->toHeadRequest)
        text += body;
    m_implementation->write(*item, text);
    m_implementation->endAnswer(*item);
}

void http_server::abortAnswer(connection_id id)
{
    if (auto* item = m_implementation->find(id))
        m_implementation->close(*item);
}

void http_server::closeAfterAnswers()
{
    m_implementation->lastAnswers = true;
}

void http_server::closeIdle()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    std::vector<connection*> idle;
    for (const auto& [id, item] : m_implementation->connections) {
        if (item->current == phase::idle && item->unsent.empty() && item->pipelined.empty())
            idle.push_back(item.get());
    }
    for (auto* item : idle)
        m_implementation->close(*item);
}

} // namespace kumquat
