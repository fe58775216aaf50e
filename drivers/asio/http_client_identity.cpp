#include "drivers/asio/http_client_connections.h"

#include "core/overloaded.h"

// The check of a server's identity on a connection, before the request is sent over it.

namespace kumquat {

namespace {

    constexpr std::size_t maxIdentityBytes = 65536;

} // namespace

bool http_client::implementation::needsIdentityCheck(const pooled_connection& connection, const http_call& call)
{
    const auto& check = call.identityCheck;
    return !check.bytes.empty() && (check.identity.empty() || check.identity != connection.acceptedIdentity);
}

void http_client::implementation::startIdentityCheck(pooled_connection& connection, http_call call)
{
    connection.checkStatus = 0;
    connection.checkBody.clear();
    connection.checkedCall = std::move(call);
    connection.state.begin({}, false);
    sendRequest(connection, connection.checkedCall->identityCheck.bytes);
}

void http_client::implementation::handleCheckEvent(pooled_connection& connection, const exchange_event& event)
{
    const auto visitor = overloaded {
        [&](const http_answer_head& head) {
            connection.checkStatus = head.status;
            const auto& identifies = connection.checkedCall->identityCheck.identifies;
            if (identifies && !identifies(head))
                goOnUnidentified(connection);
        },
        [&](const answer_body_bytes& body) {
            connection.checkBody.append(body.bytes);
            if (connection.checkBody.size() > maxIdentityBytes)
                return failCall(connection, "the answer to the identity check is too large");
            track(connection);
        },
        [&](const answer_ended&) { finishIdentityCheck(connection); },
        [&](const exchange_failed& failure) { failCall(connection, failure.reason); },
    };
    std::visit(visitor, event);
}

void http_client::implementation::goOnUnidentified(pooled_connection& connection)
{
    auto call = *std::exchange(connection.checkedCall, std::nullopt);
    call.identityCheck = {};
    close(connection);
    if (callbacks.onUnidentified)
        callbacks.onUnidentified(call.id);
    connect(std::move(call));
}

void http_client::implementation::finishIdentityCheck(pooled_connection& connection)
{
    auto& check = connection.checkedCall->identityCheck;
    if (!check.accepts(connection.checkStatus, connection.checkBody))
        return failCall(connection, "another process answers at the address");
    if (!connection.state.isReusable() && check.retries-- == 0)
        return failCall(connection, "the server closed the connection after the identity check");
    connection.acceptedIdentity = check.identity;
    auto call = *std::exchange(connection.checkedCall, std::nullopt);
    if (!connection.state.isReusable()) {
        close(connection);
        return connect(std::move(call));
    }
    call.identityCheck = {};
    connection.rested.reset();
    startCall(connection, std::move(call));
}

} // namespace kumquat
