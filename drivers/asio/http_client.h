#pragma once

#include "core/clock.h"
#include "core/http_message.h"
#include "drivers/asio/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

using call_id = std::uint64_t;

// A header whose value every answer to the call repeats. An answer with another value belongs to an earlier call on the
// same connection and is skipped.
struct expected_header {
    std::string header;
    std::string value;
};

// One request, ready to be written.
struct http_call {
    call_id id = 0;
    endpoint target;
    std::string bytes;
    bool toHeadRequest = false;
    expected_header identity;
    duration connectTimeout = std::chrono::milliseconds(300);
};

// Why a call has no whole answer.
struct http_call_failure {
    // Some of the request may have reached the server.
    bool sent = false;
    std::string reason;
};

// Sends requests over kept connections on the reactor's thread, one request at a time on each.
class http_client {
public:
    struct handlers {
        std::function<void(call_id, http_answer_head)> onHead;
        std::function<void(call_id, std::string_view)> onBody;
        std::function<void(call_id)> onEnd;
        std::function<void(call_id, http_call_failure)> onFailed;
        // A new connection was made.
        std::function<void()> onConnected;
    };

    http_client(reactor&, handlers);
    ~http_client();

    void start(http_call);
    // Ends a call and closes its connection. Nothing more is heard of the call.
    void cancel(call_id);
    // Stops or resumes reading the answer.
    void pause(call_id, bool paused);
    // Closes the idle connections to a server.
    void forget(const endpoint&);
    std::size_t connectionCount() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
