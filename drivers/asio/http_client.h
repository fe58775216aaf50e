#pragma once

#include "core/clock.h"
#include "core/connection_outcome.h"
#include "core/http_message.h"
#include "drivers/asio/connection_guard.h"
#include "drivers/asio/expected_header.h"
#include "drivers/asio/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

using call_id = std::uint64_t;

// A request that asks the server who it is. The call's own request follows on the same connection if the answer is accepted; otherwise
// the call fails and has sent nothing.
struct identity_check {
    // The serialized request, which must be safe to send. Empty if the server is not asked.
    std::string bytes;
    // Names the expected server. A connection on which it has been accepted under that name leads to it for as long as it is open, so
    // that it isn't asked again there.
    std::string identity;
    // Whether the server is the expected one, by the status and the body of its answer.
    std::function<bool(int status, const std::string& body)> accepts;
    // Whether an answer with that head says who the server is. If it doesn't, the call goes on with an unidentified server, on a
    // new connection. Empty if the server has to identify itself.
    std::function<bool(const http_answer_head&)> identifies {};
    // How often the server is asked again on a new connection if it has closed the one of the check.
    int retries = 1;
};

// One serialized request and how to send it.
struct http_call {
    call_id id = 0;
    endpoint target;
    // The request line, headers and body as they are written to the connection.
    std::string bytes;
    // The request's method is HEAD, so its answer has no body.
    bool isHeadRequest = false;
    expected_header expectedHeader;
    // The request can be sent once more if its outcome stays unknown. Otherwise it goes out on a connection that is new or proved.
    bool mayBeLost = true;
    identity_check identityCheck;
    duration connectTimeout = std::chrono::milliseconds(300);
    // Asked immediately before the first byte is written, which may be some time after the start of the call. If it returns false,
    // the call fails and has sent nothing. May be empty.
    std::function<bool()> maySend;
};

// Why a call has no complete answer.
struct http_call_failure {
    // At least one byte of the request was written to the connection, so the server may have received it.
    bool anyBytesSent = false;
    std::string reason;
    // What came of opening the connection, if the call needed a new one.
    connection_outcome connection = connection_outcome::unknown;
    // The connection had carried another request and rested since.
    bool connectionReused = false;
    // At least one byte came after the request.
    bool anyBytesReceived = false;
    // The server had dropped the connection before, as far as that can be told from its end.
    bool connectionDropped = false;
    // This process ended the call, because its memory was full and the answer was kept there.
    bool endedAtMemoryBound = false;
};

// An HTTP/1.1 client that runs on the reactor's thread and reuses idle connections. Each connection carries one request
// at a time; requests are not pipelined.
class http_client {
public:
    // Called on the reactor's thread. Each call ends with exactly one of onEnd and onFailed, unless it is cancelled.
    struct handlers {
        std::function<void(call_id, http_answer_head)> onHead;
        // Bytes of the body without their transfer coding; valid only during the call of the handler.
        std::function<void(call_id, std::string_view)> onBody;
        std::function<void(call_id)> onEnd;
        std::function<void(call_id, http_call_failure)> onFailed;
        // The call goes on although the server hasn't said who it is. May be empty.
        std::function<void(call_id)> onUnidentified {};
        // A new TCP connection was established.
        std::function<void()> onConnected;
        // A server has dropped a connection that had rested for this time, so that idle ones are distrusted for a time. May be empty.
        std::function<void(const endpoint&, duration rested, duration distrustTime)> onDropped;
    };

    // The guard, which outlives the client, counts its connections and what they hold, and ends answers when the memory is full.
    http_client(reactor&, connection_guard&, handlers, connection_side = connection_side::upstream);
    ~http_client();

    // Sends the request over the most recently used idle connection to its target that may be trusted, or over a new connection.
    void start(http_call);
    // Abandons a call and closes its connection. No handler is called for it afterwards.
    void cancel(call_id);
    // Stops or resumes reading the answer from its connection.
    void setPaused(call_id, bool paused);
    // States how much is kept of what was received of the body so far, all of it the beginning of an event. Before the first call all
    // of the body counts as kept.
    void recordPartialEvent(call_id, std::size_t keptBytes);
    // Trusts idle connections for a time as after the loss of a request on one.
    void distrustIdleConnections();
    // Closes the idle connections to a server; calls in progress continue.
    void closeIdleConnections(const endpoint&);
    // Counts all open connections: connecting, in use and idle.
    std::size_t connectionCount() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
