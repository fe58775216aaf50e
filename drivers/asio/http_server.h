#pragma once

#include "core/clock.h"
#include "core/http_message.h"
#include "core/result.h"
#include "core/routing_config.h"
#include "drivers/asio/connection_guard.h"
#include "drivers/asio/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

using connection_id = std::uint64_t;

// A connection that the server has closed on its own account.
struct server_close {
    // "stop", "idle_timeout", "send_timeout", "linger_timeout" or "bound".
    const char* cause = "";
    // The phase of the connection, as in server_connection.
    const char* phase = "";
    // The kernel had received bytes that the server has not read, so that the connection was reset.
    bool hadUnreadBytes = false;
};

// The connections of a server by phase.
struct connection_census {
    std::size_t idle = 0;
    std::size_t reading = 0;
    std::size_t answering = 0;
    std::size_t sending = 0;
    std::size_t closing = 0;
    // Those with bytes that the kernel has received and the server has not read.
    std::size_t unread = 0;
};

// An HTTP/1.1 server that runs on the reactor's thread. Each connection has at most one request in progress; pipelined
// requests are buffered and processed in order (server_connection). An idle connection occupies no request buffer. A request with
// ambiguous or invalid framing is answered with 400 and its connection is closed. A caller that takes no byte of a complete answer for
// the idle timeout is cut off. Functions ignore the id of a closed connection.
class http_server {
public:
    // Called on the reactor's thread.
    struct handlers {
        // A complete request was read. It is answered by answer(), or by beginAnswer(), appendAnswer() and finishAnswer().
        std::function<void(connection_id, http_request)> onRequest;
        // The caller has closed its connection before its request was completely answered.
        std::function<void(connection_id)> onDisconnected;
        // The connection's send buffer is empty again after appendAnswer() returned false.
        std::function<void(connection_id)> onWritable;
        // A request was refused before it was read completely; the server has answered it with this status.
        std::function<void(int status)> onRefused;
        // The process is at a bound, and the request in progress has to end, of which nothing has been answered. It is to be answered at
        // once, and the connection is closed after that. May be empty, so that the connection is closed without an answer.
        std::function<void(connection_id)> onEvicted {};
        // The server has closed a connection on its own account. May be empty.
        std::function<void(const server_close&)> onClosed {};
    };

    // Starts to listen. Returns an error if the address is not IPv4 or cannot be bound.
    // The guard, which outlives the server, bounds what all servers and clients of the process hold.
    static result<std::unique_ptr<http_server>> open(reactor&, connection_guard&, const endpoint&, handlers);
    ~http_server();

    // The size limits apply to requests whose first byte arrives later; the timeouts apply at once.
    void setLimits(const caller_limits&);
    // Sends the status line and headers. Without a content length the body uses the chunked transfer coding.
    void beginAnswer(connection_id, const http_answer_head&);
    // Sends bytes of the body. Returns false if too many bytes are buffered because the caller reads too slowly; the sender
    // should then wait for onWritable.
    bool appendAnswer(connection_id, std::string_view bytes);
    // Ends the answer that beginAnswer() started.
    void finishAnswer(connection_id);
    // Sends a complete answer.
    void answer(connection_id, const http_answer_head&, std::string_view body);
    // Ends the connection in the middle of the answer, behind what is unsent, so that the caller detects that the answer is incomplete.
    void abortAnswer(connection_id);
    // Every answer that starts from now on carries "Connection: close", and its connection is closed after it.
    void closeAfterAnswers();
    // Closes the listener, after it has accepted the connections that wait, and the connections that have been quiet for a second: those
    // without a request, and those whose caller sends no more of its request, which is refused as not run. To be called again until
    // hasOpenConnections() is false.
    void closeListenerAndIdleConnections();
    // Whether some caller has not taken all bytes of its answer yet.
    bool hasUnsentAnswers() const;
    connection_census census() const;
    // Whether a connection still needs the process, after closeListenerAndIdleConnections().
    bool hasOpenConnections() const;
    // Refuses the requests that have not been received completely, as not run.
    void refuseUnreadRequests();
    // Ends all connections, before the process ends.
    void endConnections();

private:
    struct implementation;
    explicit http_server(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
