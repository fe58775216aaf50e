#pragma once

#include "core/caller_request.h"
#include "core/result.h"
#include "servers/entry/entry_effect.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// Serves callers over HTTP. Requests go out through the handlers, called on connection threads; answers come in
// through deliver(), called from any thread.
class caller_server {
public:
    struct options {
        std::string host;
        int port = 0;
        std::size_t bodyLimitBytes = 0;
        std::size_t maximumThreads = 0;
    };
    struct handlers {
        std::function<void(channel_id, caller_request)> onArrived;
        std::function<void(channel_id)> onGone;
    };

    static result<std::unique_ptr<caller_server>> open(const options&, handlers);
    ~caller_server();

    // Starts serving on a thread of its own.
    void start();
    void deliver(const begin_answer&);
    void deliver(const append_answer&);
    void deliver(const finish_answer&);
    void deliver(const fail_answer&);
    // Takes no new connection; answers in progress go on.
    void stopListening();
    // Waits until every answer in progress has been written.
    void join();

private:
    struct implementation;
    explicit caller_server(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
