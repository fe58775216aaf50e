#pragma once

#include "drivers/asio/connection_acceptor.h"
#include "drivers/asio/http_server.h"
#include "drivers/asio/server_connection.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <utility>

namespace kumquat {

// One connection of a caller, with its socket.
struct caller_connection {
    connection_id id = 0;
    asio::ip::tcp::socket socket;
    server_connection state;
    bool writeWaitPending = false;
    bool readWaitPending = false;
    // appendAnswer() has returned false and onWritable has not been called after that.
    bool throttled = false;
    // Nothing is read until the process holds less.
    bool readPaused = false;
    // A request that was sent ahead waits for a turn.
    bool awaitsTurn = false;
    // Its request has to end, as the process is at a bound.
    bool isEvicted = false;
    std::uint64_t transferredBytes = 0;
    // When the last bytes were received, or the connection was accepted.
    instant receivedAt = std::chrono::steady_clock::now();

    caller_connection(connection_id number, asio::ip::tcp::socket accepted)
        : id(number)
        , socket(std::move(accepted))
        , state(std::chrono::steady_clock::now())
    {
    }

    // Whether the kernel has received bytes that were not read.
    bool hasUnreadBytes() const
    {
        asio::error_code failure;
        return socket.available(failure) > 0 && !failure;
    }
};

// The connections of one server: accepting, reading, writing and closing them. Included only by the sources of http_server.
struct http_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, connection_guard& guard, handlers callbacks)
        : context(context)
        , timeoutCheckTimer(context)
        , callbacks(std::move(callbacks))
        , guard(guard)
    {
    }

    // The size of one read from a socket.
    static constexpr std::size_t readBufferBytes = 65536;
    // The shortest field is a name of one character, a colon and the end of the line.
    static constexpr std::size_t minFieldBytes = 4;

    std::optional<error> listen(const endpoint&);
    // Records what the connection holds.
    void track(const caller_connection&);
    // Copies the ids, since a connection that is looked at may be closed.
    std::vector<connection_id> connectionIds() const;
    // Whether the connection stays open after the answer that begins now. A request that was sent ahead is answered first.
    bool mayStayOpen(const caller_connection& connection) const { return !connection.isEvicted && (!closingAfterAnswers || connection.state.waitingBytes() > 0); }
    void closeAtBound(connection_id);
    void relieve(instant now);
    void addConnection(asio::ip::tcp::socket);
    void scheduleTimeoutCheck();
    // Whether the connection has to be closed at a timeout.
    bool isOverdue(const server_connection&, instant now) const;
    void checkTimeouts(connection_id, instant now);
    void awaitReadable(caller_connection&);
    void readSome(caller_connection&);
    // Reads what the kernel has received of the next request. Returns null if the connection has been closed.
    caller_connection* readReceived(connection_id);
    // Answers a request that has not been received completely, as the last answer of its connection.
    void refuse(caller_connection&, int status);
    // Closes a connection that a planned stop need not wait for.
    void closeQuiet(connection_id);
    void refuseUnread(connection_id);
    // Ends a connection before the process ends.
    void end(connection_id);
    void act(connection_id, received_request&&);
    void flush(caller_connection&);
    void awaitWritable(caller_connection&);
    void onSent(caller_connection&);
    void endAnswer(caller_connection&);
    // Reads on from the socket unless enough bytes wait already.
    void readMore(caller_connection&);
    void queueTurn(caller_connection&);
    void scheduleTurns();
    void takeTurns();
    void takeTurn(caller_connection&);
    http_read_limits readLimits() const { return { limits.headerBytes, limits.bodyBytes, limits.headerFields > 0 ? limits.headerFields : limits.headerBytes / minFieldBytes + 1 }; }
    void close(caller_connection&);
    // Closes the connection and reports why.
    void closeBecause(const char* cause, caller_connection&);
    caller_connection* find(connection_id);

    asio::io_context& context;
    std::shared_ptr<connection_acceptor> acceptor;
    asio::steady_timer timeoutCheckTimer;
    handlers callbacks;
    connection_guard& guard;
    // This server's number in the guard.
    std::uint32_t owner = 0;
    caller_limits limits;
    std::unordered_map<connection_id, std::unique_ptr<caller_connection>> connections;
    std::array<char, readBufferBytes> buffer {};
    // Connections on which a request that was sent ahead may begin, in the order in which they take turns.
    std::deque<connection_id> turns;
    bool turnsScheduled = false;
    connection_id lastConnectionId = 0;
    bool closingAfterAnswers = false;
    // The process ends, and no request begins any more.
    bool isEnding = false;
};

} // namespace kumquat
