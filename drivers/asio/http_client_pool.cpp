#include "drivers/asio/http_client_connections.h"

// How calls end, and which idle connections are used again.

namespace kumquat {

namespace {

    // Idle connections beyond this number are closed, for each server.
    constexpr std::size_t maxIdlePerServer = 24;
    // An idle connection expires this much earlier than at the server, so that no request is written to a connection
    // that the server is closing.
    constexpr auto idleMargin = std::chrono::milliseconds(800);

    // Whether nothing has come from the server, neither bytes nor the end of the connection.
    bool isQuiet(asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        asio::error_code failure;
        socket.receive(asio::buffer(&byte, sizeof byte), asio::ip::tcp::socket::message_peek, failure);
        return failure == asio::error::would_block || failure == asio::error::try_again;
    }

} // namespace

void http_client::implementation::finishCall(pooled_connection& connection)
{
    const auto call = connection.call;
    connectionOfCall.erase(call);
    connection.call = 0;
    connection.keptHeadBytes = 0;
    connection.keptBodyBytes = 0;
    connection.partialEventBytes = 0;
    track(connection);
    auto& idleIds = idleConnections[formatEndpoint(connection.target)];
    // If the server answered before it read the complete request, it still expects the remaining bytes: the connection is
    // reusable only when all of the request was written.
    const bool keepOpen = connection.state.isReusable() && connection.unsentBytes.empty() && connection.state.idleTimeout() > idleMargin && idleIds.size() < maxIdlePerServer;
    if (keepOpen) {
        connection.idleSince = std::chrono::steady_clock::now();
        connection.idleExpiry = connection.idleSince + connection.state.idleTimeout() - idleMargin;
        idleIds.push_back(connection.id);
    } else
        close(connection);
    callbacks.onEnd(call);
}

// Returns the most recently used idle connection to the server, since the server is least likely to have closed that one; closes
// connections that it finds expired, closed by the server, or with bytes that answer no request. Returns null if there is none, or if
// that one can't be trusted with the call: a new one takes its place, and the others have rested for longer.
pooled_connection* http_client::implementation::takeIdle(const http_call& call)
{
    const auto server = formatEndpoint(call.target);
    const auto found = idleConnections.find(server);
    if (found == idleConnections.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
        auto* candidate = findConnection(found->second.back());
        found->second.pop_back();
        if (!candidate)
            continue;
        const bool isOpen = candidate->idleExpiry > now && isQuiet(candidate->socket);
        candidate->rested = now - candidate->idleSince;
        // The identity check proves the connection before the request is sent.
        const bool mayBeLost = call.mayBeLost || needsIdentityCheck(*candidate, call);
        const bool isTrusted = trust.mayReuse(server, *candidate->rested, mayBeLost, now);
        if (isOpen && isTrusted)
            return candidate;
        close(*candidate);
        if (isOpen)
            return nullptr;
    }
    return nullptr;
}

void http_client::implementation::failCall(pooled_connection& connection, const std::string& reason, connection_outcome outcome, bool endedAtMemoryBound)
{
    const auto call = connection.call;
    // The request itself is sent only after the identity check.
    const bool anyBytesSent = connection.anyBytesSent && !connection.checkedCall;
    const bool isReused = connection.rested.has_value();
    const bool anyBytesReceived = connection.anyBytesReceived;
    const bool isDropped = call != 0 && isReused && connection.anyBytesSent && !anyBytesReceived && learnFromLoss(connection);
    close(connection);
    if (call != 0)
        callbacks.onFailed(call, { anyBytesSent, reason, outcome, isReused, anyBytesReceived, isDropped, endedAtMemoryBound });
}

bool http_client::implementation::learnFromLoss(const pooled_connection& connection)
{
    const auto now = std::chrono::steady_clock::now();
    if (!trust.recordLoss(formatEndpoint(connection.target), *connection.rested, now - connection.sentAt, now))
        return false;
    closeIdle(connection.target);
    if (callbacks.onDropped)
        callbacks.onDropped(connection.target, *connection.rested, trust.distrustTime());
    return true;
}

void http_client::implementation::closeIdle(const endpoint& target)
{
    const auto found = idleConnections.find(formatEndpoint(target));
    if (found == idleConnections.end())
        return;
    const auto idleIds = std::move(found->second);
    idleConnections.erase(found);
    for (const auto id : idleIds) {
        if (auto* connection = findConnection(id))
            close(*connection);
    }
}

} // namespace kumquat
