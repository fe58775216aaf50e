#include "drivers/asio/http_server_connections.h"

#include <algorithm>
#include <poll.h>

// How connections of callers are closed: at a timeout, at a bound and in a planned stop. Before a connection is closed that waits for a
// request, what the kernel has received is read, since closing a socket with unread bytes resets the connection, and the caller would
// lose a request that has arrived in time. After the close nothing is read any more, so that a request that crosses it has not run.

namespace kumquat {

namespace {

    // A refused caller may still be sending its request, and the reset would destroy the answer on its way. Therefore the server discards
    // what it receives after the last answer of a connection and closes the socket after this time, unless the caller closes it first.
    constexpr auto lingerTimeout = std::chrono::seconds(1);
    // A stop closes a connection without a request only after this time, since a caller most often uses it right after it was opened or
    // has brought an answer. It is also how long a stop waits for the next bytes of a request.
    constexpr auto quietTime = std::chrono::seconds(1);
    // At the end of the process a caller that sends without end is read this often.
    constexpr int maxLastReads = 16;

    // Whether the caller has closed its side, also if bytes that have not been read precede the close.
    bool isClosedByCaller(asio::ip::tcp::socket& socket)
    {
        pollfd state { socket.native_handle(), POLLRDHUP, 0 };
        return ::poll(&state, 1, 0) > 0;
    }

    const char* nameOf(server_connection::phase phase)
    {
        static constexpr const char* names[] = { "idle", "reading", "answering", "sending", "closing" };
        return names[static_cast<int>(phase)];
    }

} // namespace

std::vector<connection_id> http_server::implementation::connectionIds() const
{
    std::vector<connection_id> ids;
    ids.reserve(connections.size());
    for (const auto& [id, connection] : connections)
        ids.push_back(id);
    return ids;
}

caller_connection* http_server::implementation::readReceived(connection_id id)
{
    using phase = server_connection::phase;
    while (auto* connection = find(id)) {
        const auto current = connection->state.current();
        if (current != phase::idle && current != phase::reading)
            return connection;
        const auto readBefore = connection->transferredBytes;
        readSome(*connection);
        connection = find(id);
        if (connection && connection->transferredBytes == readBefore)
            return connection;
    }
    return nullptr;
}

// A request that has not been received completely has not run, so its caller is told so. A caller with a request in progress is told
// whether it may have run, or sees its answer break off. A request that has arrived meanwhile is served.
void http_server::implementation::closeAtBound(connection_id id)
{
    using phase = server_connection::phase;
    auto* connection = find(id);
    if (!connection)
        return;
    const bool mayBeAnswered = connection->state.isAnswering() && !connection->state.hasBegunAnswer() && callbacks.onEvicted;
    if (mayBeAnswered && !std::exchange(connection->isEvicted, true))
        return callbacks.onEvicted(id);
    if (connection->state.isAnswering())
        callbacks.onDisconnected(id);
    const bool isWaiting = connection->state.current() == phase::idle && connection->state.waitingBytes() == 0;
    if (isWaiting)
        connection = readReceived(id);
    if (!connection)
        return;
    const auto current = connection->state.current();
    if (current == phase::reading)
        return refuse(*connection, 503);
    if (!isWaiting || current == phase::idle)
        closeBecause("bound", *connection);
}

bool http_server::implementation::isOverdue(const server_connection& state, instant now) const
{
    using phase = server_connection::phase;
    const auto elapsed = now - state.phaseStart();
    switch (state.current()) {
    case phase::idle:
        return state.waitingBytes() == 0 && elapsed > limits.idleTimeout;
    case phase::reading:
        // The complete request, head and body, has to arrive within the sum of both timeouts.
        return elapsed > limits.headerTimeout + limits.idleTimeout;
    case phase::answering:
        return false;
    case phase::sending:
        // The caller has stopped reading its answer.
        return elapsed > limits.idleTimeout;
    case phase::closing:
        return elapsed > lingerTimeout;
    }
    return false;
}

void http_server::implementation::checkTimeouts(connection_id id, instant now)
{
    using phase = server_connection::phase;
    auto* connection = find(id);
    if (!connection)
        return;
    // A connection that is not read shows no end of its bytes.
    if (connection->state.current() == phase::answering && !connection->readWaitPending && isClosedByCaller(connection->socket)) {
        callbacks.onDisconnected(id);
        return close(*connection);
    }
    if (!isOverdue(connection->state, now))
        return;
    connection = readReceived(id);
    if (!connection || !isOverdue(connection->state, now))
        return;
    const auto current = connection->state.current();
    if (current == phase::reading)
        return refuse(*connection, 408);
    closeBecause(current == phase::idle ? "idle_timeout" : current == phase::sending ? "send_timeout"
                                                                                     : "linger_timeout",
        *connection);
}

void http_server::implementation::refuse(caller_connection& connection, int status)
{
    const auto id = connection.id;
    connection.state.refuse(status, std::chrono::steady_clock::now());
    callbacks.onRefused(status);
    flush(connection);
    if (auto* remaining = find(id))
        track(*remaining);
}

void http_server::implementation::closeQuiet(connection_id id)
{
    using phase = server_connection::phase;
    const auto* found = find(id);
    if (!found || std::chrono::steady_clock::now() - found->receivedAt < quietTime)
        return;
    auto* connection = readReceived(id);
    if (!connection)
        return;
    const auto now = std::chrono::steady_clock::now();
    const auto current = connection->state.current();
    if (current == phase::reading && now - connection->receivedAt >= quietTime)
        return refuse(*connection, 503);
    if (current == phase::idle && connection->state.waitingBytes() == 0 && now - connection->state.phaseStart() >= quietTime)
        closeBecause("stop", *connection);
}

void http_server::implementation::refuseUnread(connection_id id)
{
    const auto* found = find(id);
    if (!found || found->state.current() != server_connection::phase::reading)
        return;
    auto* connection = readReceived(id);
    if (connection && connection->state.current() == server_connection::phase::reading)
        refuse(*connection, 503);
}

void http_server::implementation::end(connection_id id)
{
    using phase = server_connection::phase;
    auto* connection = readReceived(id);
    // A request that was read only now has not been begun.
    const bool isUnanswered = connection && connection->state.isAnswering() && !connection->state.hasBegunAnswer();
    if (connection && (isUnanswered || connection->state.current() == phase::reading))
        refuse(*connection, 503);
    connection = find(id);
    if (!connection)
        return;
    asio::error_code failure;
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    // Only what was refused or answered is read on and discarded.
    for (int reads = 0; reads < maxLastReads && connection->state.current() != phase::idle && !failure; ++reads)
        connection->socket.read_some(asio::buffer(buffer), failure);
    closeBecause("stop", *connection);
}

void http_server::implementation::closeBecause(const char* cause, caller_connection& connection)
{
    const server_close closed { cause, nameOf(connection.state.current()), connection.hasUnreadBytes() };
    close(connection);
    if (callbacks.onClosed)
        callbacks.onClosed(closed);
}

void http_server::implementation::close(caller_connection& connection)
{
    asio::error_code ignored;
    guard.budget().remove({ owner, connection.id });
    connection.socket.close(ignored);
    connections.erase(connection.id);
}

} // namespace kumquat
