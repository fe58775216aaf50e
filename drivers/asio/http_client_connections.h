#pragma once

#include "drivers/asio/client_connection.h"
#include "drivers/asio/connection_trust.h"
#include "drivers/asio/http_client.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <unordered_map>

namespace kumquat {

// One TCP connection to a server and the call that it carries, if any.
struct pooled_connection {
    std::uint64_t id = 0;
    asio::ip::tcp::socket socket;
    endpoint target;
    client_connection state;
    // The call in progress; zero while the connection is idle.
    call_id call = 0;
    // The call whose request follows once the server has identified itself, and the answer to the identity check so far.
    std::optional<http_call> checkedCall;
    int checkStatus = 0;
    // The identity under which the server was accepted on this connection, or empty.
    std::string acceptedIdentity;
    std::string checkBody;
    // Bytes of the request that have not been written to the socket.
    std::string unsentBytes;
    // The call's bytes until the connection is open.
    std::size_t connectingBytes = 0;
    // The head and the bytes of the body that the handlers have received and not passed on.
    std::size_t keptHeadBytes = 0;
    std::size_t keptBodyBytes = 0;
    // Of the body: an event without an end.
    std::size_t partialEventBytes = 0;
    // What the parser held when the connection was last tracked.
    std::size_t trackedParserBytes = 0;
    std::unique_ptr<asio::steady_timer> connectTimer;
    // Since when the connection is idle, and when it expires.
    instant idleSince;
    instant idleExpiry;
    // How long it had rested when it got the call, unless it is new or has been proved since.
    std::optional<duration> rested;
    instant sentAt;
    // At least one byte has come since the last request was sent.
    bool anyBytesReceived = false;
    bool connected = false;
    // At least one byte of the request has been written to the socket.
    bool anyBytesSent = false;
    // A write failed, so that the connection is broken.
    bool writeFailed = false;
    bool paused = false;
    bool readWaitPending = false;
    bool writeWaitPending = false;

    pooled_connection(asio::io_context& context, endpoint target)
        : socket(context)
        , target(std::move(target))
    {
    }
};

// The connections of one client: connecting, writing, reading and closing them. Included only by the sources of http_client.
struct http_client::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, connection_guard& guard, handlers callbacks, connection_side side)
        : context(context)
        , guard(guard)
        , side(side)
        , callbacks(std::move(callbacks))
    {
    }

    // The size of one read from a socket.
    static constexpr std::size_t readBufferBytes = 65536;

    // Records what the connection holds.
    void track(pooled_connection&);
    // Fails the call of a connection, or closes an idle one.
    void endAtMemoryBound(std::uint64_t connectionId);

    pooled_connection* findConnection(std::uint64_t id);
    pooled_connection* findConnectionOf(call_id);
    pooled_connection* takeIdle(const http_call&);
    void connect(http_call);
    void onConnected(pooled_connection&, const asio::error_code&);
    void startCall(pooled_connection&, http_call);
    // Whether the server has to identify itself on the connection before it gets the call.
    static bool needsIdentityCheck(const pooled_connection&, const http_call&);
    void startIdentityCheck(pooled_connection&, http_call);
    void handleCheckEvent(pooled_connection&, const exchange_event&);
    void finishIdentityCheck(pooled_connection&);
    // Abandons the check, whose answer doesn't say who the server is, and sends the request on a new connection.
    void goOnUnidentified(pooled_connection&);
    void sendRequest(pooled_connection&, std::string bytes);
    // Fails the call from the reactor, so that no handler runs within start().
    void failLater(const pooled_connection&, std::string reason);
    void flush(pooled_connection&);
    void awaitWritable(pooled_connection&);
    void awaitReadable(pooled_connection&);
    void readSome(pooled_connection&);
    void onReadFailure(pooled_connection&, const asio::error_code&);
    // Handles the events until one ends the call or a handler cancels it.
    void handleEvents(std::uint64_t connectionId, const std::vector<exchange_event>&);
    void handleEvent(pooled_connection&, const exchange_event&);
    void finishCall(pooled_connection&);
    void failCall(pooled_connection&, const std::string& reason, connection_outcome = connection_outcome::unknown, bool endedAtMemoryBound = false);
    // A call failed on a reused connection without a byte of an answer. Returns whether the server had dropped the connection.
    bool learnFromLoss(const pooled_connection&);
    void closeIdle(const endpoint&);
    void close(pooled_connection&);

    asio::io_context& context;
    connection_guard& guard;
    connection_side side;
    // This client's number in the guard.
    std::uint32_t owner = 0;
    handlers callbacks;
    std::unordered_map<std::uint64_t, std::unique_ptr<pooled_connection>> connections;
    std::unordered_map<call_id, std::uint64_t> connectionOfCall;
    std::unordered_map<std::string, std::deque<std::uint64_t>> idleConnections;
    connection_trust trust;
    std::array<char, readBufferBytes> buffer {};
    std::uint64_t lastConnectionId = 0;
};

} // namespace kumquat
