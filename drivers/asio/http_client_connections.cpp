#include "drivers/asio/http_client_connections.h"

#include "core/overloaded.h"

#include <asio/post.hpp>
#include <netinet/tcp.h>

namespace kumquat {

namespace {

    // TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay unacknowledged for this long.
    constexpr auto unacknowledgedTimeout = std::chrono::milliseconds(1500);
    // TCP keep-alive probes detect an unreachable server while no bytes are in transit.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    using tcp = asio::ip::tcp;

    void setOption(tcp::socket& socket, int level, int name, int value)
    {
        ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
    }

    // The memory of a head that its receiver keeps.
    std::size_t heldBytes(const http_answer_head& head)
    {
        std::size_t bytes = head.headers.capacity() * sizeof(http_header);
        for (const auto& [name, value] : head.headers)
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace

void http_client::implementation::track(pooled_connection& connection)
{
    const auto checkedBytes = connection.checkedCall ? connection.checkedCall->bytes.capacity() : 0;
    const auto requestBytes = connection.connectingBytes + connection.unsentBytes.capacity() + checkedBytes;
    connection.trackedParserBytes = connection.state.heldBytes();
    const auto answerBytes = connection.trackedParserBytes + connection.checkBody.size() + connection.keptHeadBytes + connection.keptBodyBytes;
    connection_load load;
    load.heldBytes = requestBytes + answerBytes;
    load.requestInProgress = connection.call != 0;
    load.answerBytes = answerBytes;
    load.partialEventBytes = connection.partialEventBytes;
    guard.budget().update({ owner, connection.id }, load, std::chrono::steady_clock::now());
}

void http_client::implementation::endAtMemoryBound(std::uint64_t connectionId)
{
    auto* connection = findConnection(connectionId);
    if (!connection)
        return;
    const auto bytes = connection->trackedParserBytes + connection->keptHeadBytes + connection->keptBodyBytes;
    failCall(*connection, "the memory is full, and " + std::to_string(bytes) + " bytes of this answer were held", connection_outcome::unknown, true);
}

pooled_connection* http_client::implementation::findConnection(std::uint64_t id)
{
    const auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second.get();
}

pooled_connection* http_client::implementation::findConnectionOf(call_id id)
{
    const auto found = connectionOfCall.find(id);
    return found == connectionOfCall.end() ? nullptr : findConnection(found->second);
}

void http_client::implementation::connect(http_call call)
{
    auto added = std::make_unique<pooled_connection>(context, call.target);
    auto& connection = *added;
    connection.id = ++lastConnectionId;
    connections.emplace(connection.id, std::move(added));
    guard.budget().add({ owner, connection.id }, side, std::chrono::steady_clock::now());
    connection.call = call.id;
    connection.connectingBytes = call.bytes.capacity();
    track(connection);
    connectionOfCall.emplace(call.id, connection.id);
    asio::error_code failure;
    const tcp::endpoint remote(asio::ip::make_address_v4(call.target.host, failure), call.target.port);
    if (!failure)
        connection.socket.open(tcp::v4(), failure);
    if (failure)
        return failLater(connection, failure.message());
    connection.socket.non_blocking(true, failure);
    connection.connectTimer = std::make_unique<asio::steady_timer>(context, call.connectTimeout);
    connection.connectTimer->async_wait([self = shared_from_this(), id = connection.id](const asio::error_code& cancelled) {
        auto* connection = self->findConnection(id);
        if (!cancelled && connection && !connection->connected)
            self->failCall(*connection, "connect timeout");
    });
    connection.socket.async_connect(remote, [self = shared_from_this(), id = connection.id, call = std::move(call)](const asio::error_code& failure) mutable {
        auto* connection = self->findConnection(id);
        if (!connection)
            return;
        self->onConnected(*connection, failure);
        if (self->findConnection(id))
            self->startCall(*connection, std::move(call));
    });
}

void http_client::implementation::onConnected(pooled_connection& connection, const asio::error_code& failure)
{
    connection.connectTimer.reset();
    if (failure)
        return failCall(connection, failure.message(), failure == asio::error::connection_refused ? connection_outcome::refused : connection_outcome::unknown);
    connection.connected = true;
    asio::error_code ignored;
    connection.socket.set_option(tcp::no_delay(true), ignored);
    connection.socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(connection.socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(connection.socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(connection.socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(connection.socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeout.count()));
    callbacks.onConnected();
}

void http_client::implementation::startCall(pooled_connection& connection, http_call call)
{
    connection.call = call.id;
    connection.connectingBytes = 0;
    connectionOfCall[call.id] = connection.id;
    connection.paused = false;
    connection.anyBytesSent = false;
    if (needsIdentityCheck(connection, call))
        return startIdentityCheck(connection, std::move(call));
    if (call.maySend && !call.maySend())
        return failLater(connection, "the call is not to be sent any more");
    connection.state.begin(std::move(call.expectedHeader), call.isHeadRequest);
    sendRequest(connection, std::move(call.bytes));
}

void http_client::implementation::sendRequest(pooled_connection& connection, std::string bytes)
{
    connection.unsentBytes = std::move(bytes);
    connection.anyBytesSent = false;
    connection.anyBytesReceived = false;
    connection.sentAt = std::chrono::steady_clock::now();
    const auto id = connection.id;
    flush(connection);
    if (auto* remaining = findConnection(id)) {
        track(*remaining);
        awaitReadable(*remaining);
    }
}

void http_client::implementation::failLater(const pooled_connection& failing, std::string reason)
{
    asio::post(context, [self = shared_from_this(), id = failing.id, call = failing.call, reason = std::move(reason)] {
        auto* connection = self->findConnection(id);
        if (connection && connection->call == call)
            self->failCall(*connection, reason);
    });
}

void http_client::implementation::flush(pooled_connection& connection)
{
    asio::error_code failure;
    const auto size = connection.socket.write_some(asio::buffer(connection.unsentBytes), failure);
    if (failure && failure != asio::error::would_block && failure != asio::error::try_again) {
        // The server may have answered before it closed the connection, so read what it sent before failing the call.
        if (connection.anyBytesSent) {
            connection.writeFailed = true;
            return awaitReadable(connection);
        }
        return failLater(connection, failure.message());
    }
    connection.anyBytesSent = connection.anyBytesSent || size > 0;
    connection.unsentBytes.erase(0, size);
    if (connection.unsentBytes.empty()) {
        connection.unsentBytes.shrink_to_fit();
        return;
    }
    awaitWritable(connection);
}

void http_client::implementation::awaitWritable(pooled_connection& connection)
{
    if (connection.writeWaitPending)
        return;
    connection.writeWaitPending = true;
    connection.socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), id = connection.id](const asio::error_code& failure) {
        auto* connection = self->findConnection(id);
        if (!connection)
            return;
        connection->writeWaitPending = false;
        if (!failure && !connection->unsentBytes.empty()) {
            self->flush(*connection);
            self->track(*connection);
        }
    });
}

void http_client::implementation::awaitReadable(pooled_connection& connection)
{
    if (connection.readWaitPending || connection.paused)
        return;
    connection.readWaitPending = true;
    connection.socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id = connection.id](const asio::error_code& failure) {
        auto* connection = self->findConnection(id);
        if (!connection)
            return;
        connection->readWaitPending = false;
        if (!failure && !connection->paused)
            self->readSome(*connection);
    });
}

void http_client::implementation::readSome(pooled_connection& connection)
{
    asio::error_code failure;
    const auto size = connection.socket.read_some(asio::buffer(buffer, guard.budget().maxAnswerReadBytes()), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
        return awaitReadable(connection);
    if (failure)
        return onReadFailure(connection, failure);
    // A server can't have answered a request of which it has nothing.
    if (connection.call == 0 || !connection.anyBytesSent)
        return failCall(connection, "bytes that answer no request");
    if (!std::exchange(connection.anyBytesReceived, true) && connection.rested)
        trust.recordAnswer(formatEndpoint(connection.target), *connection.rested, std::chrono::steady_clock::now());
    const auto id = connection.id;
    handleEvents(id, connection.state.receive({ buffer.data(), size }));
    if (auto* remaining = findConnection(id)) {
        if (remaining->state.heldBytes() != remaining->trackedParserBytes)
            track(*remaining);
        awaitReadable(*remaining);
    }
    // What upstreams send at the bound would exceed it until the next check of the server. No reference to a connection is held here.
    if (guard.budget().isFull())
        guard.relieve(false, std::chrono::steady_clock::now());
}

void http_client::implementation::onReadFailure(pooled_connection& connection, const asio::error_code& failure)
{
    // A failed write has taken the error from the socket: what follows reads like an orderly end.
    if (connection.call == 0 || failure != asio::error::eof || connection.writeFailed)
        return failCall(connection, failure.message());
    handleEvents(connection.id, connection.state.receiveEnd(failure.message()));
}

void http_client::implementation::handleEvents(std::uint64_t connectionId, const std::vector<exchange_event>& events)
{
    for (const auto& event : events) {
        auto* connection = findConnection(connectionId);
        if (!connection)
            return;
        handleEvent(*connection, event);
    }
}

void http_client::implementation::handleEvent(pooled_connection& connection, const exchange_event& event)
{
    if (connection.checkedCall)
        return handleCheckEvent(connection, event);
    const auto visitor = overloaded {
        [&](const http_answer_head& head) {
            connection.keptHeadBytes = heldBytes(head);
            track(connection);
            callbacks.onHead(connection.call, head);
        },
        [&](const answer_body_bytes& body) {
            connection.keptBodyBytes += body.bytes.size();
            track(connection);
            callbacks.onBody(connection.call, body.bytes);
        },
        [&](const answer_ended&) { finishCall(connection); },
        [&](const exchange_failed& failed) { failCall(connection, failed.reason); },
    };
    std::visit(visitor, event);
}

void http_client::implementation::close(pooled_connection& connection)
{
    asio::error_code ignored;
    connection.socket.close(ignored);
    guard.budget().remove({ owner, connection.id });
    if (connection.call != 0)
        connectionOfCall.erase(connection.call);
    const auto idleIds = idleConnections.find(formatEndpoint(connection.target));
    if (idleIds != idleConnections.end())
        std::erase(idleIds->second, connection.id);
    connections.erase(connection.id);
}

} // namespace kumquat
