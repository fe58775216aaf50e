#include "drivers/asio/http_server_connections.h"

#include <algorithm>
#include <asio/post.hpp>

namespace kumquat {

namespace {

    // The server stops reading from a connection on which this many bytes of later requests are buffered.
    constexpr std::size_t maxWaitingBytes = 131072;
    // How many requests that were sent ahead begin in one turn of the loop. Between two turns all that has arrived on other connections
    // is read, so that a caller without requests ahead waits for no more than these.
    constexpr int requestsPerTurn = 16;
    // How often connections are checked for timeouts.
    constexpr auto timeoutCheckInterval = std::chrono::milliseconds(250);

} // namespace

caller_connection* http_server::implementation::find(connection_id id)
{
    const auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second.get();
}

std::optional<error> http_server::implementation::listen(const endpoint& address)
{
    owner = guard.addOwner([weak = weak_from_this()](connection_id id) {
        if (const auto self = weak.lock())
            self->closeAtBound(id);
    });
    const auto add = [weak = weak_from_this()](asio::ip::tcp::socket socket) {
        if (const auto self = weak.lock())
            self->addConnection(std::move(socket));
    };
    acceptor = std::make_shared<connection_acceptor>(context, connection_acceptor::handlers { [&budget = guard.budget()] { return budget.mayAccept(); }, add });
    return acceptor->open(address);
}

void http_server::implementation::track(const caller_connection& connection)
{
    // A caller that has not taken its whole answer is worth as much as one whose request is still in progress.
    const bool isInProgress = connection.state.isAnswering() || !connection.state.unsent().empty();
    connection_load load;
    load.heldBytes = connection.state.heldBytes();
    load.requestInProgress = isInProgress;
    load.awaitsUpstream = connection.state.isAnswering() && connection.state.unsent().empty();
    load.transferredBytes = connection.transferredBytes;
    guard.budget().update({ owner, connection.id }, load, std::chrono::steady_clock::now());
}

// Closes what has to be closed at a bound, and goes on with what waited.
void http_server::implementation::relieve(instant now)
{
    guard.relieve(acceptor->isPaused(), now);
    acceptor->resume();
    for (const auto& [id, connection] : connections) {
        if (connection->readPaused && guard.budget().mayRead(connection->state.heldBytes())) {
            connection->readPaused = false;
            awaitReadable(*connection);
        }
    }
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
    guard.budget().add({ owner, added.id }, connection_side::caller, std::chrono::steady_clock::now());
    awaitReadable(added);
}

void http_server::implementation::scheduleTimeoutCheck()
{
    timeoutCheckTimer.expires_after(timeoutCheckInterval);
    timeoutCheckTimer.async_wait([self = shared_from_this()](const asio::error_code& failure) {
        if (failure)
            return;
        const auto now = std::chrono::steady_clock::now();
        for (const auto id : self->connectionIds())
            self->checkTimeouts(id, now);
        self->relieve(now);
        self->scheduleTimeoutCheck();
    });
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
    // The turn reads on.
    if (connection.awaitsTurn)
        return;
    // What comes after the last answer is discarded and takes no memory.
    const bool isDiscarded = connection.state.current() == server_connection::phase::closing;
    const auto readBytes = isDiscarded ? buffer.size() : std::min(buffer.size(), guard.budget().maxReadBytes(connection.state.heldBytes()));
    if (readBytes == 0) {
        connection.readPaused = true;
        return;
    }
    asio::error_code failure;
    const auto size = connection.socket.read_some(asio::buffer(buffer, readBytes), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
        return awaitReadable(connection);
    if (failure) {
        if (connection.state.isAnswering())
            callbacks.onDisconnected(connection.id);
        return close(connection);
    }
    const auto id = connection.id;
    connection.transferredBytes += size;
    connection.receivedAt = std::chrono::steady_clock::now();
    act(id, connection.state.receive({ buffer.data(), size }, readLimits(), std::chrono::steady_clock::now()));
    auto* remaining = find(id);
    if (!remaining)
        return;
    track(*remaining);
    readMore(*remaining);
}

void http_server::implementation::readMore(caller_connection& connection)
{
    if (connection.state.waitingBytes() < maxWaitingBytes)
        awaitReadable(connection);
}

void http_server::implementation::act(connection_id id, received_request&& received)
{
    if (const auto* refused = std::get_if<refused_request>(&received))
        callbacks.onRefused(refused->status);
    if (auto* request = std::get_if<http_request>(&received)) {
        auto* connection = find(id);
        if (connection && isEnding)
            return refuse(*connection, 503);
        if (connection)
            track(*connection);
        return callbacks.onRequest(id, std::move(*request));
    }
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
    connection.transferredBytes += sent;
    track(connection);
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
        queueTurn(connection);
    if (std::exchange(connection.throttled, false) && current == phase::answering)
        callbacks.onWritable(connection.id);
}

void http_server::implementation::endAnswer(caller_connection& connection)
{
    connection.throttled = false;
    track(connection);
    if (connection.state.unsent().empty())
        return onSent(connection);
    flush(connection);
}

// The next request of the connection begins in a turn of its own, also because the answer may have been sent from within the onRequest
// handler of the previous request.
void http_server::implementation::queueTurn(caller_connection& connection)
{
    if (std::exchange(connection.awaitsTurn, true))
        return;
    turns.push_back(connection.id);
    scheduleTurns();
}

void http_server::implementation::scheduleTurns()
{
    if (turns.empty() || std::exchange(turnsScheduled, true))
        return;
    asio::post(context, [self = shared_from_this()] { self->takeTurns(); });
}

void http_server::implementation::takeTurns()
{
    for (int taken = 0; taken < requestsPerTurn && !turns.empty(); ++taken) {
        const auto id = turns.front();
        turns.pop_front();
        if (auto* connection = find(id))
            takeTurn(*connection);
    }
    turnsScheduled = false;
    scheduleTurns();
}

void http_server::implementation::takeTurn(caller_connection& connection)
{
    const auto id = connection.id;
    connection.awaitsTurn = false;
    act(id, connection.state.readOn(readLimits(), std::chrono::steady_clock::now()));
    auto* remaining = find(id);
    if (!remaining)
        return;
    track(*remaining);
    readMore(*remaining);
}

} // namespace kumquat
