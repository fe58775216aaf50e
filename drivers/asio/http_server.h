#pragma once

#include "core/clock.h"
#include "core/http_message.h"
#include "core/result.h"
#include "core/routing_config.h"
#include "drivers/asio/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquat {

using connection_id = std::uint64_t;

// Serves HTTP/1.1 on the reactor's thread. Each connection has at most one request in progress; an idle connection holds
// no buffer. Requests whose framing is in doubt are answered with 400 and their connection is closed.
class http_server {
public:
    struct handlers {
        std::function<void(connection_id, http_request)> onRequest;
        // The caller has closed the connection of an unanswered request.
        std::function<void(connection_id)> onGone;
        // The caller has read enough for more of its answer to be sent.
        std::function<void(connection_id)> onWritable;
        // A request was refused before it was whole.
        std::function<void(int status)> onRefused;
    };

    static result<std::unique_ptr<http_server>> open(reactor&, const endpoint&, handlers);
    ~http_server();

    void setLimits(const caller_limits&);
    // Starts an answer. Without a content length the body is sent in chunks.
    void beginAnswer(connection_id, const http_answer_head&);
    // Returns false when the caller reads too slowly to send more now; onWritable tells when it may go on.
    bool appendAnswer(connection_id, std::string_view bytes);
    void finishAnswer(connection_id);
    // Sends a whole answer.
    void answer(connection_id, const http_answer_head&, std::string_view body);
    // Closes the connection so that the caller sees that its answer is incomplete.
    void abortAnswer(connection_id);
    // From now on each answer is the last of its connection.
    void closeAfterAnswers();
    // Closes the listener and all connections without a request.
    void closeIdle();

private:
    struct implementation;
    explicit http_server(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
